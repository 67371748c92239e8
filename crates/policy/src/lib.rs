//! The decisions of a gateway that sees only its own traffic: routing, retries, exposure, and the verdict on canaries.
//!
//! [`Policy`] is the one entry: an adapter hands it each [`Event`] with the clock and carries out the [`Action`]s in
//! the order given. The crate is pure: it does no I/O, reads no clock and names no protocol. Times are milliseconds.
//! docs/another-front.md says what an adapter owes.

// Until its turn: docs/ROADMAP.md.
#![allow(clippy::too_many_lines, clippy::wildcard_imports, missing_docs)]

pub mod action;
pub mod choice;
pub mod config;
pub mod endpoint;
pub mod event;
pub mod request;
pub mod rollout;
pub mod snapshot;
pub mod state;

pub use action::Action;
pub use choice::Policy;
pub use config::{
    CostConfig, DiscoveryConfig, ExposureConfig, GatewayIdentity, LoadReporting, Permissions, PolicyConfig,
    SlowStartConfig, UpstreamConnectionConfig, VoteMode, VotingConfig,
};
pub use endpoint::{EndpointEntry, EndpointStatus, UpdateKind};
pub use event::{CompletedAttempt, EndpointOutcomes, Event, IncomingRequest, OutcomeReport};
pub use request::{AttemptOutcome, DedupScope, Idempotency, LoadReport, RequestClass, RequestId};
pub use rollout::{RolloutPhase, RolloutState, Verdict, Version, VoteOutcome};
pub use snapshot::{Canary, EndpointSnapshot, PolicySnapshot};

/// Milliseconds, with fractions.
pub type Millis = f64;

//! The decisions of a gateway that sees only its own traffic: routing, retries, exposure, and the verdict on canaries.
//!
//! [`Policy`] is the entry point: an adapter passes it each [`Event`] with the time and performs the [`Action`]s in the
//! order returned. The crate is pure: it does no I/O, reads no clock and depends on no protocol. Times are in
//! milliseconds; `now` never goes backwards and has the epoch of [`EndpointEntry::started_at`], Unix time at gateways.
//! docs/another-front.md defines the duties of an adapter.

#![warn(clippy::pedantic)]
#![allow(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "casts follow a clamp or a bounded count"
)]
#![allow(clippy::float_cmp, reason = "equal draws count half")]
#![allow(clippy::struct_excessive_bools, reason = "inputs of rules are independent conditions")]

mod admission;
mod canary;
mod discovery_calls;
mod dispatch;
mod exposure;
mod list_lease;
mod outlier;
mod policy;
mod retry;
mod routing;
mod slow_start;
mod verdict;

pub mod action;
pub mod config;
pub mod endpoint;
pub mod event;
pub mod log_event;
pub mod request;
pub mod rollout;
pub mod snapshot;
pub mod state;
pub mod statistics;
pub mod time;

pub use action::{Action, UnservedReason};
pub use config::{
    CostConfig, DiscoveryConfig, ExposureConfig, GatewayIdentity, LoadReporting, Permissions, PolicyConfig,
    SlowStartConfig, UpstreamConnectionConfig, VoteMode, VotingConfig,
};
pub use discovery_calls::MAX_FIRST_CALL_DELAY;
pub use dispatch::Policy;
pub use endpoint::{EndpointEntry, EndpointStatus, UpdateFailure, UpdateKind};
pub use event::{CompletedAttempt, EndpointOutcomes, Event, IncomingRequest, OutcomeReport};
pub use log_event::{EjectionReason, LogEvent, RejectionReason};
pub use request::{AttemptOutcome, DedupScope, Idempotency, LoadReport, RequestClass, RequestId};
pub use rollout::{RolloutPhase, RolloutState, Verdict, Version, VoteOutcome};
pub use snapshot::{Canary, EndpointSnapshot, PolicySnapshot};
pub use time::Millis;

//! What the policy remembers. No decision is taken here.

pub mod canary;
pub mod endpoints;
pub mod exposure;
pub mod requests;
pub mod timer;
pub mod window;

pub use canary::{
    BySide, CanaryAnalysis, CastVote, CommonFailures, ComparableCounts, FleetView, OutcomeCounts, Standing,
    Suspicion,
};
pub use endpoints::{Endpoint, EndpointIndex, EndpointRegistry, EndpointTable, Metric, Sides};
pub use exposure::ExposureLimiter;
pub use requests::{Attempt, Request, RequestTable};

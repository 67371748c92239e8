//! What the policy remembers. No decision is taken here.

pub mod canary;
pub mod endpoint;
pub mod evidence;
pub mod exposure;
pub mod registry;
pub mod requests;
pub mod timer;
pub mod window;

pub use canary::{AnalysisView, CanaryAnalysis, CanaryContext, CastVote, Promotion, Suspicion};
pub use endpoint::{Endpoint, EndpointIndex, Metric, MetricMoments};
pub use evidence::{
    BySide, ClassEvidence, CommonFailures, ComparableCounts, OutcomeCounts, WeightedEvidence,
};
pub use exposure::ExposureLimiter;
pub use registry::{EndpointRegistry, EndpointTable, Sides};
pub use requests::{Attempt, Request, RequestTable, ServiceLevel};

//! The state of a policy: endpoints, requests, exposure, evidence on a canary, and the tick timer.
//!
//! The rule modules and [`Policy`](crate::Policy) read and update this state. Constants of rules arrive as parameters.
//! Invariants of the state itself (which version is the canary, when evidence is reset, the limits of counts) are
//! maintained in these modules.

pub mod canary;
pub mod endpoint;
pub mod evidence;
pub mod exposure;
pub mod registry;
pub mod requests;
pub mod timer;
pub mod window;

pub use canary::{AnalysisView, CanaryAnalysis, CanaryContext, CastVote, Promotion, TestResult};
pub use endpoint::{Endpoint, EndpointIndex, Metric, MetricMoments};
pub use evidence::{
    ByVersionGroup, ClassEvidence, CommonFailures, ComparableCounts, OutcomeCounts, WeightedEvidence,
};
pub use exposure::ExposureLimiter;
pub use registry::{EndpointRegistry, EndpointTable, VersionGroups};
pub use requests::{Attempt, Request, RequestTable, ServiceLevel};

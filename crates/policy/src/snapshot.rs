//! The policy's decisions at a moment, for adapters that publish them instead of routing each request.

use crate::rollout::Version;

/// The policy's decisions at a moment, before limits such as the traffic cap: the crate `latchhaven-proxy-config`
/// applies them to each configuration that it builds from a snapshot.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PolicySnapshot {
    /// Canaries that run on ready endpoints, lowest version first.
    pub canaries: Vec<Canary>,
    /// The share of requests that all canaries together are to receive, from 0 to 1, before the cap.
    pub canary_share: f64,
    /// Set when this policy's analysis has rejected the newest version, possibly before the platform rolls it back.
    pub is_canary_rejected: bool,
    /// The probability with which load shedding rejects a request without a tenant on arrival, from 0 to 1.
    pub shed_probability: f64,
    /// All listed endpoints, ready or not.
    pub endpoints: Vec<EndpointSnapshot>,
}

/// A canary, with the cap and stage that the exposure rule applies to it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Canary {
    /// The version under rollout.
    pub version: Version,
    /// The share of requests that may be sent to the version, from 0 to 1; that of the first stage until the platform
    /// reports the rollout.
    pub traffic_cap: f64,
    /// The stage of the rollout, from 0; 0 until the platform reports the rollout.
    pub stage: u32,
}

/// The state of one endpoint at the time of the snapshot.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointSnapshot {
    /// The endpoint's id on the endpoint list.
    pub endpoint: String,
    /// The version that the endpoint runs.
    pub version: Version,
    /// The zone in which the endpoint is listed.
    pub zone: String,
    /// Set when the endpoint list allows new requests to the endpoint: it is neither draining nor removed.
    pub is_ready: bool,
    /// Set when outlier detection has ejected the endpoint and the ejection has not expired.
    pub is_ejected: bool,
    /// The endpoint's weight times its warm-up factor, in the unit of the listed weights.
    pub capacity: f64,
    /// Set when the endpoint has not reached its full capacity since its start.
    pub is_warming_up: bool,
}

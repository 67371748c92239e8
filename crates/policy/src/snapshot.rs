//! The policy's view at one moment, for adapters that publish decisions instead of asking for each request.

use crate::rollout::Version;

/// The policy's view at one moment.
///
/// Shares, weights and health in it are decided. What such an adapter still owes to the rules is the job of the
/// crate `latchhaven-proxy-config`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PolicySnapshot {
    /// Canaries among the ready endpoints, lowest version first.
    pub canaries: Vec<Canary>,
    /// The share of requests that the canaries are to get, before the cap.
    pub canary_share: f64,
    /// The newest version was rejected here, whatever the platform says by now.
    pub is_canary_rejected: bool,
    /// The share of all requests to reject at once.
    pub shed_probability: f64,
    /// All endpoints on the list.
    pub endpoints: Vec<EndpointSnapshot>,
}

/// A canary, with its cap and stage as the rule on exposure counts them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Canary {
    /// Its version.
    pub version: Version,
    /// The share of requests that it may get.
    pub traffic_cap: f64,
    /// Its stage, from 0.
    pub stage: u32,
}

/// One endpoint at one moment.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointSnapshot {
    /// The endpoint's id.
    pub endpoint: String,
    /// The version that it runs.
    pub version: Version,
    /// Its zone.
    pub zone: String,
    /// It takes new requests, as the list says.
    pub is_ready: bool,
    /// It is ejected for now.
    pub is_ejected: bool,
    /// Its weight, times the share of its capacity that it has reached at least.
    pub capacity: f64,
    /// It is still warming up.
    pub is_warming_up: bool,
}

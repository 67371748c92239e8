//! The policy's decisions at one time, for adapters that publish them instead of routing each request.

use crate::rollout::Version;

/// The policy's decisions at one time.
///
/// The crate `latchhaven-proxy-config` applies the limits of the rules, such as the cap, to what is published from it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PolicySnapshot {
    /// Canaries among the ready endpoints, lowest version first.
    pub canaries: Vec<Canary>,
    /// The share of requests that the canaries are to get, before the cap.
    pub canary_share: f64,
    /// The newest version was rejected here, even if the platform does not show it yet.
    pub is_canary_rejected: bool,
    /// The probability of rejecting a request on arrival, from 0 to 1.
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

/// One endpoint at one time.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointSnapshot {
    /// The endpoint's id.
    pub endpoint: String,
    /// The version that it runs.
    pub version: Version,
    /// Its zone.
    pub zone: String,
    /// It accepts new requests, according to the list.
    pub is_ready: bool,
    /// It is ejected.
    pub is_ejected: bool,
    /// Its weight times its warm-up factor.
    pub capacity: f64,
    /// It is still warming up.
    pub is_warming_up: bool,
}

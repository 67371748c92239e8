//! Entries of the endpoint list, and updates of it, as the discovery service delivers them.

use crate::rollout::Version;
use crate::time::Millis;

/// Whether an update replaces the current endpoint list or changes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateKind {
    /// The update contains only entries that changed; all others remain as they are.
    Delta,
    /// The update is the complete list: endpoints that are not in it were removed.
    Snapshot,
    /// The update is a complete list that an earlier process cached; possibly stale, so it does not confirm the list.
    CachedSnapshot,
}

/// A failed call for the endpoint list, or a closed watch. The current list remains in use until its lease expires.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UpdateFailure {
    /// Time since the last message of a watch that was closed because it missed a keepalive; 0 in all other cases.
    pub silent_for: Millis,
    /// Set when the discovery service may have sent an update that did not arrive completely.
    pub may_have_lost_update: bool,
}

/// The state of an endpoint's lifecycle on the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointStatus {
    /// The endpoint accepts new requests.
    Ready,
    /// The endpoint completes requests in flight and rejects new ones once its drain grace period has passed.
    Draining,
    /// The endpoint is no longer on the list.
    Removed,
}

/// What the list states about one endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    /// Identifies the endpoint on the list and in events and actions; the same at every gateway and after a restart.
    pub endpoint: String,
    /// Only an endpoint that is [`EndpointStatus::Ready`] gets attempts.
    pub status: EndpointStatus,
    /// The software version that the endpoint runs; decides whether it belongs to a canary or the baseline.
    pub version: Version,
    /// The zone that the endpoint runs in; empty if the list has no zones.
    pub zone: String,
    /// Group of endpoints within the zone that may share a record of idempotency keys; 0 if the list has no cells.
    pub cell: u32,
    /// The type of the machine that the endpoint runs on; empty if unknown. Not used by the rules.
    pub instance_type: String,
    /// The capacity at full warm-up relative to other endpoints; a value of 0 or below counts as 1.
    pub weight: f64,
    /// When the endpoint's process last started, by the wall clock of the service that lists it; 0 if unknown.
    pub started_at: Millis,
}

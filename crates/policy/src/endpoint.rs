//! Entries of the endpoint list, and updates of it, as discovery delivers them.

use crate::rollout::Version;
use crate::time::Millis;

/// How an update relates to the current endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateKind {
    /// Only the entries that changed.
    Delta,
    /// The complete list.
    Snapshot,
    /// The complete list as an earlier process cached it, possibly stale.
    CachedSnapshot,
}

/// A call for the endpoint list that failed, or a watch that broke. The current list remains in use.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UpdateFailure {
    /// Time since the last message of a watch, in ms; 0 where it broke, or where there was none.
    pub silent_for: Millis,
    /// Updates may have been sent that did not arrive completely.
    pub may_have_lost_update: bool,
}

/// An endpoint's lifecycle, as the list shows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointStatus {
    /// It accepts new requests.
    Ready,
    /// It finishes its requests and accepts no new ones.
    Draining,
    /// It left the list.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    /// The endpoint's id, the same at every gateway.
    pub endpoint: String,
    /// Its lifecycle.
    pub status: EndpointStatus,
    /// The software version that it runs.
    pub version: Version,
    /// Its zone; empty where there are none.
    pub zone: String,
    /// Its cell within the zone.
    pub cell: u32,
    /// The type of the instance that it runs on.
    pub instance_type: String,
    /// Its capacity relative to other endpoints.
    pub weight: f64,
    /// Clock time of its last start, in ms; 0 where unknown.
    pub started_at: Millis,
}

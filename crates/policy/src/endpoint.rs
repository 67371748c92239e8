//! Entries of the endpoint list, as discovery tells them.

use crate::rollout::Version;
use crate::time::Millis;

/// How an update relates to the endpoint list held so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateKind {
    /// Only the entries that changed.
    Delta,
    /// The whole list.
    Snapshot,
    /// The whole list as it was last held, perhaps stale.
    CachedSnapshot,
}

/// A call for the endpoint list that failed, or a watch that broke. The list held stays.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UpdateFailure {
    /// Time since the last sign of life of a watch, in ms; 0 where it broke, or where there was none.
    pub silent_for: Millis,
    /// Updates may have been sent that did not arrive whole.
    pub may_have_lost_update: bool,
}

/// What the endpoint list says of an endpoint's lifecycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointStatus {
    /// It takes new requests.
    Ready,
    /// It finishes what it has and takes nothing new.
    Draining,
    /// It left the list.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    /// The endpoint's id, the same at every gateway.
    pub endpoint: String,
    /// What the list says of its lifecycle.
    pub status: EndpointStatus,
    /// The software version that it runs.
    pub version: Version,
    /// Its zone; empty where there are none.
    pub zone: String,
    /// Its cell within the zone.
    pub cell: u32,
    /// The type of machine that it runs on.
    pub machine_type: String,
    /// Its capacity beside other endpoints'.
    pub weight: f64,
    /// Clock time of its last start; 0 for long ago.
    pub started_at: Millis,
}

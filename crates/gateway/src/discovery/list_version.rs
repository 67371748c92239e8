//! Order of two endpoint lists. Version numbers alone do not decide: the discovery service may restart its count,
//! and then the lower number is the newer list; and a call that was started before another call's answer arrived
//! may deliver a state from before that answer.

/// How a received list relates to the list that is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionOrder {
    /// It replaces or extends the list that is held.
    Newer,
    /// Another call has delivered a newer list meanwhile.
    Stale,
    /// It is a delta to a list that was never held.
    Gap,
}

/// The parts of a received list that decide its order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReceivedVersion {
    /// Its version number.
    pub version: u64,
    /// It is a snapshot of all endpoints and not a delta.
    pub is_snapshot: bool,
    /// Another call has delivered a list since the call for this one was started or last delivered one.
    pub is_overtaken: bool,
}

/// Compares a received list with the list of version `held`.
pub fn compare_versions(held: u64, received: ReceivedVersion) -> VersionOrder {
    if received.version >= held {
        VersionOrder::Newer
    } else if received.is_overtaken {
        VersionOrder::Stale
    } else if received.is_snapshot {
        VersionOrder::Newer
    } else {
        VersionOrder::Gap
    }
}

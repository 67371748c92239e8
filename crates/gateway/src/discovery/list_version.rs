//! Order of two endpoint lists. Version numbers alone do not decide: the discovery service may restart its count, and
//! then the lower number is the newer list; and a call may deliver a list that is older than one that another call has
//! delivered meanwhile.

/// How a received list relates to the current one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionOrder {
    /// It replaces or extends the current list.
    Newer,
    /// Another call has delivered a newer list.
    Stale,
    /// It is a delta to a list that was never received.
    Gap,
}

/// The properties of a received list that decide its order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReceivedVersion {
    /// Its version number.
    pub version: u64,
    /// It is a snapshot of all endpoints and not a delta.
    pub is_snapshot: bool,
    /// Another call has delivered a list since this call was started or last delivered one.
    pub is_overtaken: bool,
}

/// Compares a received list with the current one, of version `current`.
#[must_use]
pub fn compare_versions(current: u64, received: ReceivedVersion) -> VersionOrder {
    if received.version >= current {
        VersionOrder::Newer
    } else if received.is_overtaken {
        VersionOrder::Stale
    } else if received.is_snapshot {
        VersionOrder::Newer
    } else {
        VersionOrder::Gap
    }
}

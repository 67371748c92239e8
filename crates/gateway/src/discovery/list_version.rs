//! Decides which of two endpoint lists is newer. Version numbers alone are not sufficient for two reasons: after the
//! discovery service has restarted its version count, the list with the lower number is newer, and a call may deliver a
//! list that is older than one that another call has delivered in the meantime.

/// How a received list relates to the current one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionOrder {
    /// The received list replaces or extends the current one. Includes a list of the same version.
    Newer,
    /// The current list is newer, and was delivered by another call.
    Stale,
    /// The received list is a delta to a list that was never received.
    Gap,
}

/// The properties of a received list that decide its order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReceivedVersion {
    /// The version number that the discovery service assigned.
    pub version: u64,
    /// Set for a snapshot of all endpoints, and not set for a delta.
    pub is_snapshot: bool,
    /// Set when another call has delivered a list since this call was started or last delivered one.
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

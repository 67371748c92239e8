//! Addresses of the endpoints on the endpoint list, and of those that left it recently: late load reports name them.

use crate::limits::{self, MAX_RETAINED_VERSIONS};
use latchhaven_policy::{EndpointEntry, EndpointStatus, Millis, Version};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// What is retained about an address that is or recently was on the endpoint list.
struct RetainedAddress {
    /// The id of the last endpoint listed at the address.
    endpoint: String,
    /// The versions that were listed at the address, at most [`MAX_RETAINED_VERSIONS`].
    versions: BTreeSet<Version>,
    /// Time of the last list update after which the address was on the list.
    last_listed_at: Millis,
}

/// The addresses of the endpoints on the endpoint list and of those that left it recently.
#[derive(Default)]
pub(crate) struct AddressDirectory {
    /// The address of each endpoint on the list, by endpoint id.
    listed: BTreeMap<String, SocketAddr>,
    retained: BTreeMap<SocketAddr, RetainedAddress>,
}

impl AddressDirectory {
    /// Applies a snapshot of the endpoint list, or a delta to it.
    pub(crate) fn apply(&mut self, entries: &[(EndpointEntry, SocketAddr)], is_snapshot: bool, now: Millis) {
        if is_snapshot {
            self.listed.clear();
        }
        for (entry, address) in entries {
            if entry.status == EndpointStatus::Removed {
                self.listed.remove(&entry.endpoint);
            } else {
                self.listed.insert(entry.endpoint.clone(), *address);
                self.retain_version(entry, *address, now);
            }
        }
        self.remove_expired(now);
    }

    /// Returns the address of each endpoint on the list, by endpoint id.
    pub(crate) fn listed(&self) -> &BTreeMap<String, SocketAddr> {
        &self.listed
    }

    /// Returns `true` if no endpoint is or recently was on the list.
    pub(crate) fn is_empty(&self) -> bool {
        self.retained.is_empty()
    }

    /// Returns the id of the last endpoint at an address; `None` if the version is not retained for the address.
    pub(crate) fn endpoint_at(&self, address: &SocketAddr, version: Version) -> Option<&str> {
        let retained = self.retained.get(address)?;
        retained.versions.contains(&version).then_some(retained.endpoint.as_str())
    }

    fn retain_version(&mut self, entry: &EndpointEntry, address: SocketAddr, now: Millis) {
        let retained = self.retained.entry(address).or_insert_with(|| RetainedAddress {
            endpoint: entry.endpoint.clone(),
            versions: BTreeSet::new(),
            last_listed_at: now,
        });
        retained.endpoint.clone_from(&entry.endpoint);
        retained.versions.insert(entry.version);
        while retained.versions.len() > MAX_RETAINED_VERSIONS {
            retained.versions.pop_first();
        }
    }

    fn remove_expired(&mut self, now: Millis) {
        let listed: BTreeSet<SocketAddr> = self.listed.values().copied().collect();
        self.retained.retain(|address, retained| {
            if listed.contains(address) {
                retained.last_listed_at = now;
            }
            limits::retains_endpoint(now, retained.last_listed_at)
        });
    }
}

//! Addresses of endpoints: those on the endpoint list, and those that were removed from it recently.

use crate::limits::{self, MAX_RETAINED_VERSIONS};
use latchhaven_policy::{EndpointEntry, EndpointStatus, Millis, Version};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// An address that is or was on the list.
struct KnownAddress {
    /// The last endpoint at the address.
    endpoint: String,
    /// The versions that ran at the address.
    versions: BTreeSet<Version>,
    last_listed_at: Millis,
}

/// The endpoints that the list names or named recently.
#[derive(Default)]
pub(crate) struct AddressDirectory {
    listed: BTreeMap<String, SocketAddr>,
    known: BTreeMap<SocketAddr, KnownAddress>,
}

impl AddressDirectory {
    /// Applies a snapshot of the list, or a delta to it.
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

    /// The address of each endpoint on the list.
    pub(crate) fn listed(&self) -> &BTreeMap<String, SocketAddr> {
        &self.listed
    }

    /// True where no endpoint is or was recently on the list.
    pub(crate) fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// The endpoint at an address, if the version runs or recently ran there.
    pub(crate) fn endpoint_at(&self, address: &SocketAddr, version: Version) -> Option<&str> {
        let known = self.known.get(address)?;
        known.versions.contains(&version).then_some(known.endpoint.as_str())
    }

    fn retain_version(&mut self, entry: &EndpointEntry, address: SocketAddr, now: Millis) {
        let known = self.known.entry(address).or_insert_with(|| KnownAddress {
            endpoint: entry.endpoint.clone(),
            versions: BTreeSet::new(),
            last_listed_at: now,
        });
        known.endpoint.clone_from(&entry.endpoint);
        known.versions.insert(entry.version);
        while known.versions.len() > MAX_RETAINED_VERSIONS {
            known.versions.pop_first();
        }
    }

    fn remove_expired(&mut self, now: Millis) {
        let listed: BTreeSet<SocketAddr> = self.listed.values().copied().collect();
        self.known.retain(|address, known| {
            if listed.contains(address) {
                known.last_listed_at = now;
            }
            limits::retains_endpoint(now, known.last_listed_at)
        });
    }
}

//! Addresses of hosts: those on the endpoint list now, and those that were on it lately.

use latchhaven_policy::{EndpointEntry, EndpointStatus, Millis, Version};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// ms for which load reports may still name a host that has left the list: reports cover a period that is over.
const HOST_RETENTION: Millis = 60_000.0;
/// Versions that are remembered of one address: a host comes back with another one while late reports name the first.
const MAX_RETAINED_VERSIONS: usize = 4;

/// An address that is or was on the list.
struct KnownHost {
    /// The endpoint that had the address last.
    endpoint: String,
    /// The versions that ran there.
    versions: BTreeSet<Version>,
    last_listed_at: Millis,
}

/// The hosts that the endpoint list has named.
#[derive(Default)]
pub(crate) struct HostDirectory {
    listed: BTreeMap<String, SocketAddr>,
    known: BTreeMap<SocketAddr, KnownHost>,
}

impl HostDirectory {
    /// Applies a list, or a delta to the one before.
    pub(crate) fn apply(&mut self, entries: &[(EndpointEntry, SocketAddr)], is_snapshot: bool, now: Millis) {
        if is_snapshot {
            self.listed.clear();
        }
        for (entry, address) in entries {
            if entry.status == EndpointStatus::Removed {
                self.listed.remove(&entry.endpoint);
            } else {
                self.listed.insert(entry.endpoint.clone(), *address);
                self.remember(entry, *address, now);
            }
        }
        self.forget_old_hosts(now);
    }

    /// The address of each endpoint on the list.
    pub(crate) fn addresses(&self) -> &BTreeMap<String, SocketAddr> {
        &self.listed
    }

    /// No host is or was lately on the list.
    pub(crate) fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// The endpoint that has or had an address, if it is known to have run a version there.
    pub(crate) fn endpoint_at(&self, address: &SocketAddr, version: Version) -> Option<&str> {
        let host = self.known.get(address)?;
        host.versions.contains(&version).then_some(host.endpoint.as_str())
    }

    fn remember(&mut self, entry: &EndpointEntry, address: SocketAddr, now: Millis) {
        let host = self.known.entry(address).or_insert_with(|| KnownHost {
            endpoint: entry.endpoint.clone(),
            versions: BTreeSet::new(),
            last_listed_at: now,
        });
        host.endpoint.clone_from(&entry.endpoint);
        host.versions.insert(entry.version);
        while host.versions.len() > MAX_RETAINED_VERSIONS {
            host.versions.pop_first();
        }
    }

    fn forget_old_hosts(&mut self, now: Millis) {
        let listed: BTreeSet<SocketAddr> = self.listed.values().copied().collect();
        self.known.retain(|address, host| {
            if listed.contains(address) {
                host.last_listed_at = now;
            }
            now - host.last_listed_at < HOST_RETENTION
        });
    }
}

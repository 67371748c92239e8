//! Hosts on the endpoint list.

use latchhaven_policy::{EndpointEntry, EndpointStatus, Version};
use std::net::SocketAddr;

/// A host on the endpoint list: endpoint `s{number}`, on loopback at the port of the same number.
#[derive(Clone, Copy)]
pub(crate) struct Host {
    number: u16,
    version: Version,
    /// Clear for a draining host.
    is_ready: bool,
}

pub(crate) fn host(number: u16, version: Version, is_ready: bool) -> Host {
    Host { number, version, is_ready }
}

pub(crate) fn ready(number: u16, version: Version) -> Host {
    host(number, version, true)
}

pub(crate) fn draining(number: u16, version: Version) -> Host {
    host(number, version, false)
}

pub(crate) fn host_address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

impl Host {
    pub(crate) fn entry(self) -> (EndpointEntry, SocketAddr) {
        let entry = EndpointEntry {
            endpoint: format!("s{}", self.number),
            status: if self.is_ready { EndpointStatus::Ready } else { EndpointStatus::Draining },
            version: self.version,
            zone: "a".to_string(),
            cell: 0,
            instance_type: String::new(),
            weight: 1.0,
            started_at: 0.0,
        };
        (entry, host_address(self.number))
    }
}

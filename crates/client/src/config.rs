//! How a client is set up.

use crate::pool::PoolLimits;
use crate::time::Millis;
use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

/// How a client is set up. `#[non_exhaustive]`: begin with [`ClientConfig::new`].
#[derive(Clone, Debug)]
#[non_exhaustive]
pub struct ClientConfig {
    /// The gateways; a process stays with one of them, by a random rank of its own.
    pub gateways: Vec<SocketAddr>,
    /// Connections at once.
    pub max_connections: usize,
    /// Connections being opened at once.
    pub max_connecting: usize,
    /// Calls that wait for a connection; of more the ones with the lowest priority are rejected.
    pub max_queued_calls: usize,
    /// Time in ms after which an idle connection is closed. Gateways close theirs after some two seconds.
    pub idle_timeout: Millis,
    /// Time in ms after which any connection is closed, less up to a fifth at random.
    pub max_connection_age: Millis,
    /// Time in ms within which a connection must be established and ready.
    pub connect_timeout: Millis,
    /// Time in ms that a request needs at least: nothing is sent with less remaining.
    pub min_request_time: Millis,
    /// The tenant that is named to gateways.
    pub tenant: Option<String>,
    /// The seed of the random number generators; two processes must not share one.
    pub seed: u64,
}

impl ClientConfig {
    /// The usual configuration for these gateways, with a seed from the system's clock and the id of this process.
    pub fn new(gateways: Vec<SocketAddr>) -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let process_id = u64::from(std::process::id());
        ClientConfig {
            gateways,
            max_connections: 8,
            max_connecting: 2,
            max_queued_calls: 256,
            idle_timeout: 1_500.0,
            max_connection_age: 60_000.0,
            connect_timeout: 1_000.0,
            min_request_time: 5.0,
            tenant: None,
            seed: since_epoch.as_nanos() as u64 ^ process_id.rotate_left(40),
        }
    }

    /// The limits of the pool; each number is at least 1.
    pub(crate) fn pool_limits(&self) -> PoolLimits {
        PoolLimits {
            max_connections: self.max_connections.max(1),
            max_connecting: self.max_connecting.max(1),
            max_queued_calls: self.max_queued_calls.max(1),
            idle_timeout: self.idle_timeout,
            max_age: self.max_connection_age,
        }
    }
}

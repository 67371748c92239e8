//! The configuration of a client.

use crate::rules::{self, PoolLimits};
use crate::time::Millis;
use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

/// The configuration of a client. `#[non_exhaustive]`: start from [`ClientConfig::new`].
#[derive(Clone, Debug)]
#[non_exhaustive]
pub struct ClientConfig {
    /// The addresses of the gateways; each process prefers one of them at random.
    pub gateways: Vec<SocketAddr>,
    /// Connections at most, those being opened included.
    pub max_connections: usize,
    /// Connections being opened at most.
    pub max_connecting: usize,
    /// Calls queued for a connection at most; beyond that the ones with the lowest priority are rejected.
    pub max_queued_calls: usize,
    /// Time in ms after which an idle connection is closed. Gateways close theirs after some two seconds.
    pub idle_timeout: Millis,
    /// Time in ms after which any connection is closed, less up to a fifth at random.
    pub max_connection_age: Millis,
    /// Time in ms within which a connection must be established and ready.
    pub connect_timeout: Millis,
    /// Time in ms that a request needs at least: nothing is sent with less remaining.
    pub min_request_time: Millis,
    /// The tenant that is sent to gateways, if any.
    pub tenant: Option<String>,
    /// The seed of the random number generators; two processes must not share one.
    pub seed: u64,
}

impl ClientConfig {
    /// The default configuration for these gateways, with a seed from the system's clock and the id of this process.
    #[must_use]
    pub fn new(gateways: Vec<SocketAddr>) -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let process_id = u64::from(std::process::id());
        ClientConfig {
            gateways,
            max_connections: rules::DEFAULT_MAX_CONNECTIONS,
            max_connecting: rules::DEFAULT_MAX_CONNECTING,
            max_queued_calls: rules::DEFAULT_MAX_QUEUED_CALLS,
            idle_timeout: rules::DEFAULT_IDLE_TIMEOUT,
            max_connection_age: rules::DEFAULT_MAX_CONNECTION_AGE,
            connect_timeout: rules::DEFAULT_CONNECT_TIMEOUT,
            min_request_time: rules::DEFAULT_MIN_REQUEST_TIME,
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

//! The configuration of a client, and its defaults.

use crate::rules::{self, PoolLimits};
use crate::time::Millis;
use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

/// The process id is rotated left by this number of bits and combined with the wall clock, in nanoseconds, to form the
/// seed. The clock changes the bits from this one upwards only every 18 minutes: processes that start simultaneously
/// have different seeds.
const PROCESS_ID_SHIFT_BITS: u32 = 40;

/// The configuration of a [`Client`](crate::Client), read once when the client starts. Create it by
/// [`ClientConfig::new`], which sets the defaults, and change single fields.
#[derive(Clone, Debug)]
#[non_exhaustive]
pub struct ClientConfig {
    /// The addresses of the gateways, in any order: each client ranks them at random. Without any, each request is
    /// rejected at its deadline.
    pub gateways: Vec<SocketAddr>,
    /// The maximum number of connections to all gateways, including those being opened; at least 1. 8 by default.
    pub max_connections: usize,
    /// The maximum number of connections that are being opened; at least 1. 2 by default.
    pub max_connecting: usize,
    /// The maximum number of calls queued for a connection, at least 1; one more rejects the call with the lowest
    /// priority. 256 by default.
    pub max_queued_calls: usize,
    /// An idle connection is closed after this time; it must be below the idle timeout of gateways, about two seconds.
    /// 1.5 seconds by default.
    pub idle_timeout: Millis,
    /// A connection is closed at this age as soon as it is idle; up to a fifth is subtracted at random. One minute by
    /// default.
    pub max_connection_age: Millis,
    /// The time within which a connection must be established and the gateway ready for queries. One second by default.
    pub connect_timeout: Millis,
    /// The least time in which a request can succeed: no attempt is sent with less time until its deadline. At
    /// least 1 millisecond, 5 by default.
    pub min_request_time: Millis,
    /// The tenant that is sent with each request; `None` by default. A value that is not a plain name fails each
    /// request with [`RequestError::InvalidName`](crate::RequestError::InvalidName).
    pub tenant: Option<String>,
    /// The seed of the random number generators. Processes with the same seed prefer the same gateway and reconnect
    /// simultaneously; also the ids of their attempts collide.
    pub seed: u64,
}

impl ClientConfig {
    /// The default configuration for these gateways, with a seed from the wall clock and the process id.
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
            seed: since_epoch.as_nanos() as u64 ^ process_id.rotate_left(PROCESS_ID_SHIFT_BITS),
        }
    }

    /// The limits of the pool: counts of 0 are raised to 1.
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

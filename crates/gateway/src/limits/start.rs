//! Limits of the start: file descriptors, binding of the listener, and the first health check of the load balancer.

use std::time::Duration;

/// Maximum time from the start until the gateway responds to health checks of the load balancer. After it, the gateway
/// responds even if the endpoint list is not confirmed. The first fetch of the list starts within 4 s.
pub const MAX_READINESS_DELAY: Duration = Duration::from_millis(4500);
/// Maximum number of connections that the kernel queues until they are accepted.
pub const LISTEN_BACKLOG: u32 = 1024;
/// Interval at which the bind is retried while the address is in use, which may be the case just after a gateway was
/// killed.
pub const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Time after which the gateway stops retrying to bind and fails. A restarted gateway has to be ready within 10 s.
pub const BIND_TIMEOUT: Duration = Duration::from_secs(5);
/// Number of file descriptors if the configuration sets none.
pub const DEFAULT_DESCRIPTORS: u64 = 1024;
/// Minimum number of file descriptors with which a gateway starts.
pub const MIN_DESCRIPTORS: u64 = 64;

/// Memory limit in bytes if the configuration sets none.
pub const DEFAULT_MEMORY_LIMIT: usize = 32 * MIB;
/// Bytes of the unit of the memory limit in the configuration.
pub const MIB: usize = 1024 * 1024;

/// File descriptors for discovery, the platform, the runtime, logs, and the rejection of clients above the limit.
const RESERVED_DESCRIPTORS: usize = 48;

/// The division of the process's file descriptors between client and endpoint connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorShares {
    /// Maximum number of client connections.
    pub clients: usize,
    /// Maximum number of connections to endpoints.
    pub endpoints: usize,
}

impl DescriptorShares {
    /// Divides `max_descriptors`, less `RESERVED_DESCRIPTORS`, equally between clients and endpoints. If the number is
    /// odd, endpoints get one more. `max_descriptors` has to be at least [`MIN_DESCRIPTORS`].
    #[must_use]
    pub fn of(max_descriptors: usize) -> Self {
        let shared = max_descriptors - RESERVED_DESCRIPTORS;
        let clients = shared / 2;
        DescriptorShares { clients, endpoints: shared - clients }
    }
}

//! Limits of the start: descriptors, binding the listener, and the first health check of the load balancer.

use std::time::Duration;

/// Health checks of the load balancer are answered after this even without a confirmed endpoint list. The first fetch
/// of the list starts within 4 s.
pub const MAX_READINESS_DELAY: Duration = Duration::from_millis(4500);
/// Connections that the kernel queues until they are accepted.
pub const LISTEN_BACKLOG: u32 = 1024;
/// Interval of binds while the address is in use, as it may be just after a gateway was killed.
pub const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Binding fails after this. A restart has to be ready within 10 s.
pub const BIND_TIMEOUT: Duration = Duration::from_secs(5);
/// Descriptors where the configuration gives none.
pub const DEFAULT_DESCRIPTORS: u64 = 1024;
/// The fewest descriptors that a gateway can run with.
pub const MIN_DESCRIPTORS: u64 = 64;

/// Descriptors for discovery, the platform, the runtime, logs, and clients above the limit that are being rejected.
const RESERVED_DESCRIPTORS: usize = 48;
/// Eighths of the other descriptors that are for clients: one half.
const CLIENT_EIGHTHS: usize = 4;

/// How the descriptors of the process are divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorShares {
    /// Most connections of clients.
    pub clients: usize,
    /// Most connections to endpoints.
    pub endpoints: usize,
}

impl DescriptorShares {
    /// Divides `max_descriptors`, which are at least [`MIN_DESCRIPTORS`].
    #[must_use]
    pub fn of(max_descriptors: usize) -> Self {
        let shared = max_descriptors - RESERVED_DESCRIPTORS;
        let clients = shared * CLIENT_EIGHTHS / 8;
        DescriptorShares { clients, endpoints: shared - clients }
    }
}

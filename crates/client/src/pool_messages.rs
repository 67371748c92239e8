//! The messages from calls and connections to the task that owns the pool, see `pool_driver`.

use crate::connection::GatewayConnection;
use tokio::sync::oneshot;

/// A call's request for a connection.
pub(crate) struct AcquireRequest {
    pub(crate) call: u64,
    /// Calls with a higher weight get a connection first.
    pub(crate) priority_weight: f64,
    /// Receives the connection; dropped if the call is rejected.
    pub(crate) reply: oneshot::Sender<Box<GatewayConnection>>,
}

/// An event of a connection, which is passed by its id or returned to the pool, or of a call. Each connection has at
/// most one event that the pool driver has not received yet.
pub(crate) enum ConnectionEvent {
    /// The connection was established, and the gateway is ready.
    Connected(Box<GatewayConnection>),
    /// The connection could not be established within its timeout.
    ConnectFailed(u64),
    /// The call no longer uses the connection; another call may use it.
    Released(Box<GatewayConnection>),
    /// The connection broke, the gateway closed it with a fatal error, or a response was malformed.
    Lost(u64),
    /// The connection was closed because no response arrived before the deadline of the call.
    TimedOut(u64),
    /// The connection was closed because its call was cancelled.
    Discarded(u64),
    /// The call was cancelled while it was queued for a connection.
    AcquireCancelled(u64),
}

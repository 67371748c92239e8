//! The messages from calls and connections to the task that owns the pool.

use crate::connection::GatewayConnection;
use tokio::sync::oneshot;

/// A call's request for a connection.
pub(crate) struct AcquireRequest {
    /// The id of the call.
    pub(crate) call: u64,
    /// Higher ones go first.
    pub(crate) priority_weight: f64,
    /// Dropped if the call gets no connection.
    pub(crate) reply: oneshot::Sender<Box<GatewayConnection>>,
}

/// What happened to a connection, by its id, or to a call. At most one event is in flight for each connection.
pub(crate) enum ConnectionEvent {
    /// It was established.
    Connected(Box<GatewayConnection>),
    /// It could not be established.
    ConnectFailed(u64),
    /// It may be used again.
    Released(Box<GatewayConnection>),
    /// It broke, or its answer was malformed.
    Lost(u64),
    /// It was closed without an answer before the timeout.
    TimedOut(u64),
    /// It was closed because its call was cancelled.
    Discarded(u64),
    /// This call is no longer queued for a connection.
    AcquireCancelled(u64),
}

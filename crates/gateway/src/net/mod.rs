//! Drivers between sockets and the gateway's state machines, one for each kind of peer. Drivers make no routing or
//! voting decisions. Their timeouts and limits are in [`limits`](crate::limits).
//!
//! - [`clients`]: connections of clients.
//! - [`upstream`]: connections to endpoints.
//! - [`list`], `discovery_calls`, [`discovery_tasks`]: calls to the discovery service.
//! - [`platform`]: the feed of rollout states, and votes.
//! - `http_connection`: an HTTP connection to the discovery service or the platform.
//! - [`io`]: reads and writes on sockets.

pub mod clients;
mod discovery_calls;
pub mod discovery_tasks;
mod http_connection;
pub mod io;
pub mod list;
pub mod platform;
pub mod upstream;

pub use crate::limits::MAX_PENDING_EVENTS;
pub use io::{is_unusable, read_some, read_up_to, write_all};

use crate::discovery::calls::CallId;
use crate::proto::pg::Statement;
use bytes::Bytes;
use latchhaven_policy::{Millis, RequestId, RolloutState, UpdateFailure, UpdateKind, VoteOutcome};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::oneshot;
use upstream::{CallResult, UpstreamConnection};

/// An event that a driver sends to the event loop.
pub enum DriverEvent {
    /// A client sent a valid request.
    RequestReceived {
        /// Assigned by the driver and unique among pending requests.
        id: RequestId,
        /// The parsed query.
        statement: Rc<Statement>,
        /// When the last byte of the request arrived.
        arrived_at: Millis,
        /// Passes the final response to the driver, which writes it to the client.
        response_sender: oneshot::Sender<FinalResponse>,
    },
    /// A client disconnected while its request was pending, or while the final response was written.
    ClientDisconnected {
        /// The request that no longer needs a response.
        id: RequestId,
    },
    /// The gateway is shutting down, the drain time is over, and other requests are queued behind this one on its
    /// connection.
    Abandon {
        /// The request to end without a result.
        id: RequestId,
    },
    /// A connection to an endpoint can be used for a call.
    ConnectionReady {
        /// The connection that is ready.
        connection: Rc<UpstreamConnection>,
        /// Set when the connection was just opened and has not carried a call yet.
        is_newly_opened: bool,
    },
    /// A connection to an endpoint could not be opened.
    ConnectFailed {
        /// The connection that failed to open.
        connection: Rc<UpstreamConnection>,
    },
    /// A connection to an endpoint was closed by either side.
    ConnectionClosed {
        /// The connection that cannot be used any more.
        connection: Rc<UpstreamConnection>,
    },
    /// The call on a connection ended, with or without a response.
    CallEnded {
        /// The connection that carried the call.
        connection: Rc<UpstreamConnection>,
        /// The outcome, and the response if there was one.
        result: CallResult,
    },
    /// A call for the endpoint list delivered a snapshot or a delta, or failed.
    EndpointList {
        /// The call that the list or the failure belongs to.
        call: CallId,
        /// The list, or what the failure means for the current list.
        list: Result<list::ListUpdate, UpdateFailure>,
    },
    /// The configuration was reloaded.
    DiscoveryMoved {
        /// The address of the discovery service in the new configuration. May be unchanged.
        address: SocketAddr,
    },
    /// The platform's feed reported the rollout state of the newest version.
    Rollout(RolloutState),
    /// The call that cast a vote completed or failed.
    VoteCompleted(VoteOutcome),
    /// The platform's feed reported its counts of attempt outcomes.
    Outcomes(platform::OutcomeCounts),
}

/// What the gateway sends to the client of a request, once per request.
pub enum FinalResponse {
    /// The result of the query, in the protocol messages that the endpoint sent.
    Success {
        /// The message that describes the columns.
        description: Bytes,
        /// The message with the row.
        row: Bytes,
        /// The message that completes the command.
        completion: Bytes,
    },
    /// The request was not executed, so the client may safely retry.
    Rejected {
        /// How long the client should wait before a retry, in milliseconds. `None` if the policy gives no delay.
        retry_after: Option<Millis>,
    },
    /// The request failed, and may or may not have been executed.
    Failed,
}

/// Returns the kind of an update that a call of the discovery service delivered.
#[must_use]
pub fn update_kind(is_snapshot: bool) -> UpdateKind {
    if is_snapshot { UpdateKind::Snapshot } else { UpdateKind::Delta }
}

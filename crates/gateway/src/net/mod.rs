//! Drivers between sockets and the gateway's state machines, by peer. They decide neither routes nor votes; their time
//! limits are in [`limits`](crate::limits).
//!
//! - [`clients`]: clients of the gateway.
//! - [`upstream`]: connections to endpoints.
//! - [`list`], `discovery_calls`, [`discovery_tasks`]: the discovery service.
//! - [`platform`]: the feed of rollout states, and votes.
//! - `http_connection`: a connection to either of these services.
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
pub use io::{is_unusable, read_some, write_all};

use crate::discovery::calls::CallId;
use crate::proto::pg::Statement;
use bytes::Bytes;
use latchhaven_policy::{Millis, RequestId, RolloutState, UpdateFailure, UpdateKind, VoteOutcome};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::oneshot;
use upstream::{CallResult, UpstreamConnection};

/// What a driver reports to the event loop.
pub enum DriverEvent {
    /// A request was received.
    RequestReceived {
        /// The request.
        id: RequestId,
        /// Its statement.
        statement: Rc<Statement>,
        /// When its last byte arrived, in ms.
        arrived_at: Millis,
        /// Receives the final response.
        response_sender: oneshot::Sender<FinalResponse>,
    },
    /// The client of a request has disconnected.
    ClientDisconnected {
        /// The request.
        id: RequestId,
    },
    /// The gateway is shutting down, and other requests are queued behind this one on its connection.
    Abandon {
        /// The request.
        id: RequestId,
    },
    /// A connection to an endpoint is ready for a call.
    ConnectionReady {
        /// The connection.
        connection: Rc<UpstreamConnection>,
        /// It was just opened.
        is_newly_opened: bool,
    },
    /// A connection to an endpoint could not be opened.
    ConnectFailed {
        /// The connection.
        connection: Rc<UpstreamConnection>,
    },
    /// A connection to an endpoint has closed.
    ConnectionClosed {
        /// The connection.
        connection: Rc<UpstreamConnection>,
    },
    /// The call on a connection has ended.
    CallEnded {
        /// The connection.
        connection: Rc<UpstreamConnection>,
        /// How it ended.
        result: CallResult,
    },
    /// A call for the endpoint list delivered a list or a delta, or failed.
    EndpointList {
        /// The call.
        call: CallId,
        /// The list, or what the failure means for the current one.
        list: Result<list::List, UpdateFailure>,
    },
    /// The discovery service has moved.
    DiscoveryMoved {
        /// The new address.
        address: SocketAddr,
    },
    /// The state of the newest version's rollout.
    Rollout(RolloutState),
    /// The result of a vote.
    VoteCompleted(VoteOutcome),
    /// Outcomes that the platform counted.
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

/// The kind of an update that delivers a snapshot or a delta.
#[must_use]
pub fn update_kind(is_snapshot: bool) -> UpdateKind {
    if is_snapshot { UpdateKind::Snapshot } else { UpdateKind::Delta }
}

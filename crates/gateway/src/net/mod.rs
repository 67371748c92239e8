//! Drivers between sockets and the gateway's state machines, by peer. They decide neither routes nor votes.
//!
//! - [`clients`]: clients of the gateway.
//! - [`upstream`]: connections to endpoints.
//! - [`list`], [`discovery_tasks`]: the discovery service.
//! - [`call_error`]: why calls to discovery or the platform fail.
//! - [`platform`]: the feed of rollout states, and votes.
//! - [`io`]: reading and writing of sockets.

pub mod call_error;
pub mod clients;
pub mod discovery_tasks;
pub mod io;
pub mod list;
pub mod platform;
pub mod upstream;

pub use io::{is_unusable, read_some, write_all};

use crate::discovery::calls::CallId;
use crate::proto::pg::Statement;
use bytes::Bytes;
use latchhaven_policy::{Millis, RequestId, RolloutState, UpdateFailure, UpdateKind, VoteOutcome};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use upstream::{CallResult, UpstreamConnection};

/// Votes that wait for an answer: the decisions cast one at a time and few behind it.
pub const MAX_PENDING_VOTES: usize = 64;
/// Events that wait for the gateway; a driver that has more waits.
pub const MAX_PENDING_EVENTS: usize = 4096;
/// A connection to discovery or the platform that is not up by then never comes up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);

/// What a driver has seen, for the gateway.
pub enum DriverEvent {
    /// A request's last byte has come.
    RequestReceived {
        /// The request.
        id: RequestId,
        /// What it asks for.
        statement: Rc<Statement>,
        /// When its last byte came.
        arrived_at: Millis,
        /// Takes its final answer.
        reply: oneshot::Sender<Answer>,
    },
    /// The client of a request has gone away.
    ClientDisconnected {
        /// The request.
        id: RequestId,
    },
    /// The process ends, and other requests wait behind this one.
    Abandon {
        /// The request.
        id: RequestId,
    },
    /// A connection to an endpoint is up, or ready again.
    ConnectionReady {
        /// The connection.
        connection: Rc<UpstreamConnection>,
        /// It has just come up.
        is_first: bool,
    },
    /// A connection to an endpoint could not be opened.
    ConnectFailed {
        /// The connection.
        connection: Rc<UpstreamConnection>,
    },
    /// A connection to an endpoint has ended.
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
    /// A call for the endpoint list has delivered a list or a delta, or has failed.
    EndpointList {
        /// The call.
        call: CallId,
        /// The list, or what its failure means for the list that is held.
        list: Result<list::List, UpdateFailure>,
    },
    /// The discovery service is at another address from now on.
    DiscoveryMoved {
        /// The new address.
        address: SocketAddr,
    },
    /// The state of the newest version's rollout.
    Rollout(RolloutState),
    /// A vote was answered, or will not be.
    VoteCompleted(VoteOutcome),
    /// Outcomes that the platform counted.
    Outcomes(platform::OutcomeCounts),
}

/// The final answer to a client.
pub enum Answer {
    /// The row: its description, the row, and its completion, as the endpoint sent them.
    Success([Bytes; 3]),
    /// Not executed: a retry is harmless.
    Rejected {
        /// ms after which the client should retry.
        retry_after: Option<Millis>,
    },
    /// Failed: its effect is unknown.
    Failed,
}

/// The kind of an update that delivers a snapshot or a delta.
pub fn update_kind(is_snapshot: bool) -> UpdateKind {
    if is_snapshot { UpdateKind::Snapshot } else { UpdateKind::Delta }
}

//! Drivers between sockets and the gateway's state machines, by peer. They decide neither routes nor votes.
//!
//! - [`clients`]: clients of the gateway.
//! - [`upstream`]: connections to endpoints.
//! - [`list`], [`discovery_tasks`]: the discovery service.
//! - [`platform`]: the feed of rollout states, and votes.
//! - [`io`]: reading and writing of sockets.

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
use latchhaven_policy::{Millis, RequestId, RolloutState, UpdateKind, VoteOutcome};
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

/// While a txn is open so much is read behind it, to see its client go; a message may be longer than that on
/// so many connections at once, so that all together fit a small memory.
pub const HELD: usize = 16 * 1024;
pub const LARGE_AT_ONCE: usize = 24;
/// A client gets so long to take an answer, and to finish what it has begun to write.
pub const CLIENT_STALL: Duration = Duration::from_secs(5);
pub const CLIENT_HALF: Duration = Duration::from_secs(2);
/// A connection that is closed after an answer or error is held so long for its client to read it, and so
/// much that comes behind an error is read meanwhile. An answer is under way for some ms; 64 KiB in hex and a
/// little more fit.
pub const LINGER: Duration = Duration::from_millis(200);
pub const LINGER_BYTES: usize = 256 * 1024;
/// How often it is looked whether a client has gone behind bytes that are not read: well within the 0.3 s
/// after which nothing may be sent on for it.
pub const GONE_LOOK: Duration = Duration::from_millis(50);
/// ms from which an answer that is being written counts as slow: what comes meanwhile is not read before its
/// end.
pub const ANSWER_SLOW: Millis = 20.0;
/// While all stops, one that has not asked yet gets so long: the front hands connections out for 0.4 s, and
/// what is asked later than 0.7 s after SIGTERM may not be answered in time.
pub const LAST_FIRST: Duration = Duration::from_millis(250);
/// While all stops a client that writes queries behind others gets so long after its last answer: several
/// times what one is under way within a site.
pub const QUIET: Duration = Duration::from_millis(10);
/// ms after SIGTERM from which a txn that comes is declined at once: one that came later than 0.7 s after it
/// counts as lost where SIGKILL finds it unanswered.
pub const LAST_TAKES: Millis = 600.0;
/// SIGKILL comes no sooner than the longest time that clients wait, counted as the first at most, and 700 ms
/// after SIGTERM; 250 ms of these are kept to give up what others wait behind, and to answer them.
pub const KILL_COUNTED: Millis = 3000.0;
pub const KILL_AFTER: Millis = 450.0;
/// Of these so much goes to answering: a connection closes in the first moment in which nothing on it is
/// unanswered.
pub const LAST_CLOSES: Duration = Duration::from_millis(200);
/// A connection on which no txn was taken by then ends: 3 s are allowed from its beginning.
pub const CLIENT_FIRST: Duration = Duration::from_millis(2200);
/// A client that asks nothing for so long is let go; for want of room the ones that idle longest go after the
/// second.
pub const CLIENT_IDLE: Duration = Duration::from_millis(2050);
pub const CLIENT_IDLE_LEAST: Duration = Duration::from_secs(2);
/// One that has never asked makes room after this: usual clients ask as soon as they are there.
pub const CLIENT_SILENT_LEAST: Duration = Duration::from_millis(50);
/// Queries that cannot be taken, until the connection ends with them.
pub const CLIENT_FAULTS: u32 = 8;
/// So many clients over their share are told that there are too many; while there are more, none is accepted.
pub const TURNED_AWAY_AT_ONCE: usize = 16;
/// Of lines that peers can bring about at will, one of so many is logged.
pub const LOGGED_OF: u64 = 100;
/// When no connection can be accepted for want of descriptors, the next try is after this.
pub const ACCEPT_AGAIN: Duration = Duration::from_millis(5);
/// Descriptors kept for everything but clients and servers: the list, the feed, votes, the runtime, logs.
pub const KEPT: usize = 48;
/// Of the rest, how many of eight go to clients; servers get the others.
pub const CLIENTS_OF_EIGHT: usize = 4;
/// After SIGTERM connections are accepted for so long: the front hands them out for 0.4 s at most.
pub const LAST_ACCEPTS: Duration = Duration::from_millis(550);

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
        /// None: it has failed.
        list: Option<list::List>,
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
    Outcomes(platform::Tally),
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

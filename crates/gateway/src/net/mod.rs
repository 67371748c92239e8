//! Thin drivers between sockets and state machines, by peer. Nothing here decides a txn's way or a vote.

pub mod clients;
pub mod discovery_tasks;
pub mod list;
pub mod platform;
pub mod servers;

use bytes::{Bytes, BytesMut};
use latchhaven_policy::RequestId;
use latchhaven_policy::{AttemptOutcome, LoadReport, Millis, RolloutState, UpdateKind, VoteOutcome};
use socket2::SockRef;
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::task::yield_now;

use crate::discovery::calls::CallId;
use crate::proto::pg::Statement;

// Mechanics: figures of buffers, descriptors and times that decide no txn's way.
/// Descriptors kept for everything but clients and servers: the list, the feed, votes, the runtime, logs.
pub const KEPT: usize = 48;
/// Of the rest, how many of eight go to clients; servers get the others.
pub const CLIENTS_OF_EIGHT: usize = 4;
/// A read takes at most so much at once; a connection holds at most a message and this.
pub const READ: usize = 16 * 1024;
/// While a txn is open so much is read behind it, to see its client go; a message may be longer than that on
/// so many connections at once, so that all together fit a small memory.
pub const HELD: usize = 16 * 1024;
pub const LARGE_AT_ONCE: usize = 24;
/// An answer longer than the first is read on so many connections at once, and counted until its client has
/// it.
pub const LARGE_ANSWER: usize = 64 * 1024;
pub const LARGE_ANSWERS_AT_ONCE: usize = 12;
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
/// A server gets so long to become ready again after its answer.
pub const SETTLE: Duration = Duration::from_millis(500);
/// Idle connections to servers are closed at this share of the time at which those close them.
pub const IDLE_SHARE: f64 = 0.8;
/// After SIGTERM connections are accepted for so long: the front hands them out for 0.4 s at most.
pub const LAST_ACCEPTS: Duration = Duration::from_millis(550);
/// The list shows a sign of life every 2 s, the feed every 1 s: silence past this ends them.
pub const LIST_SILENCE: Duration = Duration::from_millis(3500);
pub const FEED_SILENCE: Duration = Duration::from_millis(3000);
/// A connection to the list or the platform that is not up by then never comes up.
pub const DIAL: Duration = Duration::from_millis(1000);
/// A call for the list that brings nothing by then has failed: the service gives up after 2 s itself.
pub const LIST_CALL: Duration = Duration::from_millis(3000);
/// A lost feed is opened again after this, doubling up to the most, each time less a random half.
pub const FEED_AGAIN: Duration = Duration::from_millis(100);
pub const FEED_AGAIN_MOST: Duration = Duration::from_millis(1600);
/// So many clients over their share are told that there are too many; while there are more, none is accepted.
pub const TURNED_AWAY_AT_ONCE: usize = 16;
/// Of lines that peers can bring about at will, one of so many is logged.
pub const LOGGED_OF: u64 = 100;
/// When no connection can be accepted for want of descriptors, the next try is after this.
pub const ACCEPT_AGAIN: Duration = Duration::from_millis(5);
/// A connection for votes that idled longer is not used again: the platform closes some before 10 s.
pub const VOTES_IDLE: Duration = Duration::from_secs(3);
/// Votes that wait for an answer, and notes that wait for the gateway.
pub const VOTES_HELD: usize = 64;
pub const NOTES_HELD: usize = 4096;

/// What a driver has seen, for the gateway.
pub enum Note {
    /// A txn's last byte has come.
    Txn { id: RequestId, statement: Rc<Statement>, came: Millis, reply: oneshot::Sender<Answer> },
    /// The client of a txn has gone away.
    Gone { id: RequestId },
    /// The process ends, and others wait behind this txn.
    GiveUp { id: RequestId },
    /// A connection to a server is up, or ready again.
    Free { link: Rc<servers::Link>, first: bool },
    /// A connection to a server never came up.
    NotUp { link: Rc<servers::Link> },
    /// A connection to a server has ended.
    Over { link: Rc<servers::Link> },
    /// What was sent on a connection has ended.
    Ended { link: Rc<servers::Link>, ending: AttemptOutcome, value: Option<[Bytes; 3]>, load: LoadReport },
    /// The list or changes to it, by the call with this id; none: the call failed.
    List { call: CallId, list: Option<list::List> },
    /// The list is to be had at another address from now on.
    Moved { list: SocketAddr },
    /// News of the newest build.
    Stage(RolloutState),
    /// A vote was answered, or will not be.
    VoteCompleted(VoteOutcome),
    /// A tally of the platform.
    Tally(platform::Tally),
}

/// The final answer to a client.
pub enum Answer {
    Settled([Bytes; 3]),
    Declined { come_back: Option<Millis> },
    Voided,
}

/// How a list came: changes where not whole.
pub fn list_kind(whole: bool) -> UpdateKind {
    if whole { UpdateKind::Snapshot } else { UpdateKind::Delta }
}

/// True where nothing may be written on an idle connection: its peer has ended it, or said what nobody asked.
pub fn unfit(stream: &TcpStream) -> bool {
    let peeked = SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]);
    !matches!(peeked, Err(fault) if fault.kind() == io::ErrorKind::WouldBlock)
}

/// True where bytes have come that were not read.
pub fn unread(stream: &TcpStream) -> bool {
    matches!(SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]), Ok(count) if count > 0)
}

/// True where a peer has ended its sending, also behind bytes that were not read.
pub fn ended(stream: &TcpStream) -> bool {
    if matches!(SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]), Ok(0)) {
        return true;
    }
    let ready = std::pin::pin!(stream.ready(Interest::READABLE));
    let looked = ready.poll(&mut Context::from_waker(Waker::noop()));
    matches!(looked, Poll::Ready(Ok(ready)) if ready.is_read_closed())
}

/// Reads what is there, up to one read's worth; 0: the peer has ended its sending.
pub async fn read_some(stream: &TcpStream, buf: &mut BytesMut) -> io::Result<usize> {
    loop {
        stream.readable().await?;
        if buf.is_empty() && buf.capacity() > 2 * READ {
            *buf = BytesMut::new();
        }
        buf.reserve(READ);
        match stream.try_read_buf(buf) {
            Err(fault) if fault.kind() == io::ErrorKind::WouldBlock => {}
            Ok(read) if read >= READ => {
                // A peer that never stops sending is always ready: its task would never let others run.
                // Whoever drops this here finds what was read in the buffer.
                yield_now().await;
                return Ok(read);
            }
            read => return read,
        }
    }
}

/// Writes pieces gathered; `Err` tells that the last byte was not written.
pub async fn write_all(stream: &TcpStream, pieces: &[Bytes]) -> io::Result<()> {
    let (mut piece, mut from) = (0, 0);
    while piece < pieces.len() {
        if from >= pieces[piece].len() {
            (piece, from) = (piece + 1, 0);
            continue;
        }
        let mut slices = [IoSlice::new(&[]); 8];
        let mut count = 0;
        for (slot, rest) in slices.iter_mut().zip(&pieces[piece..]) {
            *slot = IoSlice::new(if count == 0 { &rest[from..] } else { rest });
            count += 1;
        }
        match stream.try_write_vectored(&slices[..count]) {
            Ok(mut written) => {
                while piece < pieces.len() && written >= pieces[piece].len() - from {
                    written -= pieces[piece].len() - from;
                    (piece, from) = (piece + 1, 0);
                }
                from += written;
            }
            Err(fault) if fault.kind() == io::ErrorKind::WouldBlock => stream.writable().await?,
            Err(fault) => return Err(fault),
        }
    }
    Ok(())
}

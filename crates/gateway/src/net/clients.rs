//! Clients: accepts them, reads their queries one after another, writes each one's answer.

use super::io::{has_unread_bytes, is_closed_by_peer};
use super::{
    ACCEPT_AGAIN, ANSWER_SLOW, Answer, CLIENT_FAULTS, CLIENT_FIRST, CLIENT_HALF, CLIENT_IDLE,
    CLIENT_IDLE_LEAST, CLIENT_SILENT_LEAST, CLIENT_STALL, DriverEvent, GONE_LOOK, HELD, KILL_AFTER,
    KILL_COUNTED, LARGE_AT_ONCE, LAST_CLOSES, LAST_FIRST, LAST_TAKES, LINGER, LINGER_BYTES, LOGGED_OF, QUIET,
    TURNED_AWAY_AT_ONCE, read_some, write_all,
};
use crate::arrivals::Arrivals;
use crate::counters::{COUNTERS, Metric};
use crate::gateway::Clock;
use crate::invariant;
use crate::proto::pg::{self, Asked, Frontend, Statement};
use bytes::{Bytes, BytesMut};
use latchhaven_policy::RequestId;
use latchhaven_policy::{Idempotency, Millis, RequestClass};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::Shutdown;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::select;
use tokio::sync::{Notify, Semaphore, mpsc, oneshot};
use tokio::task::yield_now;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// What a connection is doing.
#[derive(Clone, Copy, PartialEq)]
enum At {
    /// No txn was ever taken on it.
    Silent,
    Busy,
    /// All is answered.
    Idle,
    /// Asked to leave.
    Leaving,
    /// Told its last; only its end is waited for.
    Ending,
}

/// What came of reading on.
enum More {
    Read,
    /// The client has gone, or has idled for long.
    Left,
    /// This gateway wants it to end.
    Closing,
    /// The time was up.
    Late,
}

/// How a connection ends.
enum End {
    /// Nothing is on its way to the client.
    Quiet,
    /// An answer may be, and requests that were not read are the client's to send again.
    Answered,
    /// An error may be, and nothing behind it counts.
    Refused,
}

/// One client's connection, as the others see it.
struct Seat {
    at: Cell<At>,
    /// When it came, or when it began to idle.
    since: Cell<Instant>,
    asked: Cell<bool>,
    leave: Notify,
}

/// What was read of a connection and not yet taken, and when it came.
#[derive(Default)]
struct Inbox {
    buf: BytesMut,
    came: Arrivals,
    /// When something was first seen that could not be read for want of room here.
    seen: Option<Millis>,
    /// Its client writes queries behind others.
    pipelined: bool,
}

impl Inbox {
    /// Notes what was read.
    fn note(&mut self, stream: &TcpStream, now: Millis) {
        // All that waited unread counts as come with its first byte: a later one may have less time than is
        // right.
        self.came.hold(self.buf.len(), self.seen.unwrap_or(now));
        self.seen = self.seen.filter(|_| has_unread_bytes(stream));
    }
}

/// Notes that nothing was read since a moment, where something waits.
fn waits(seen: &mut Option<Millis>, stream: &TcpStream, since: Millis) {
    *seen = seen.or_else(|| has_unread_bytes(stream).then_some(since));
}

/// All connections of clients.
pub struct Clients {
    seats: RefCell<BTreeMap<u64, Rc<Seat>>>,
    most: usize,
    /// Names of the products, and whether a key belongs to a txn of theirs.
    products: Vec<(String, bool)>,
    /// The ids of open txns.
    ids: RefCell<BTreeSet<Bytes>>,
    /// Who may hold a message longer than what all may.
    large: Semaphore,
    seated: Cell<u64>,
    txns: Cell<u32>,
    /// Since when all stops, on both clocks.
    stopped: Cell<Option<(Instant, Millis)>>,
    /// How long after that the process may be killed, less a moment.
    ends_within: Duration,
    clock: Clock,
    notes: mpsc::Sender<DriverEvent>,
}

impl Clients {
    pub fn new(
        most: usize, products: Vec<RequestClass>, clock: Clock, notes: mpsc::Sender<DriverEvent>,
    ) -> Rc<Self> {
        let longest = products.iter().map(|product| product.timeout).fold(0.0, f64::max);
        let keyed =
            |product: RequestClass| (product.name, product.idempotency == Idempotency::IdempotencyKey);
        Rc::new(Clients {
            seats: RefCell::default(),
            most,
            products: products.into_iter().map(keyed).collect(),
            ids: RefCell::default(),
            large: Semaphore::new(LARGE_AT_ONCE),
            seated: Cell::new(0),
            txns: Cell::new(0),
            stopped: Cell::new(None),
            ends_within: Duration::from_secs_f64((longest.min(KILL_COUNTED) + KILL_AFTER) / 1000.0),
            clock,
            notes,
        })
    }

    /// Accepts until dropped.
    pub async fn accept(self: Rc<Self>, listener: &TcpListener) {
        loop {
            if self.open() >= self.most + TURNED_AWAY_AT_ONCE {
                // Those that were asked to leave do so as soon as others run.
                match self.make_room() {
                    true => yield_now().await,
                    false => sleep(ACCEPT_AGAIN).await,
                }
                continue;
            }
            match listener.accept().await {
                Ok((stream, _)) => self.clone().seat(stream),
                Err(fault) => {
                    // Out of descriptors, or a client that was gone again: neither ends nor spins.
                    if COUNTERS.accept_errors.value().is_multiple_of(LOGGED_OF) {
                        tracing::warn!(%fault, "clients: accept failed");
                    }
                    COUNTERS.accept_errors.increment();
                    self.make_room();
                    sleep(ACCEPT_AGAIN).await;
                }
            }
        }
    }

    /// Takes what the machine has accepted already: a txn there counts as taken. The machine is asked itself,
    /// for the runtime may not have looked at it since.
    pub fn accept_rest(self: &Rc<Self>, listener: TcpListener) -> io::Result<()> {
        let listener = listener.into_std()?;
        while let Ok((stream, _)) = listener.accept() {
            stream.set_nonblocking(true)?;
            self.clone().seat(TcpStream::from_std(stream)?);
        }
        Ok(())
    }

    fn seat(self: Rc<Self>, stream: TcpStream) {
        COUNTERS.client_connections.increment();
        let leaving = |seat: &&Rc<Seat>| matches!(seat.at.get(), At::Leaving | At::Ending);
        let staying = self.open() - self.seats.borrow().values().filter(leaving).count();
        let room = staying < self.most || self.make_room();
        let (at, since) = (Cell::new(At::Silent), Cell::new(Instant::now()));
        let seat = Rc::new(Seat { at, since, asked: Cell::new(false), leave: Notify::new() });
        let number = self.seated.replace(self.seated.get() + 1);
        self.seats.borrow_mut().insert(number, seat.clone());
        COUNTERS.client_connections_most.record_max(self.open());
        COUNTERS.now_client_connections.set(self.open());
        let peer = stream.peer_addr().ok().map(tracing::field::display);
        tokio::task::spawn_local(async move {
            match self.serve(&stream, &seat, room).await {
                Ok(end) => {
                    seat.at.set(At::Ending);
                    linger(&stream, &seat, end).await;
                }
                Err(fault) => tracing::debug!(peer, %fault, "clients: connection lost"),
            }
            self.seats.borrow_mut().remove(&number);
            COUNTERS.now_client_connections.set(self.open());
        });
    }

    /// Asks a client to leave, the one that has never asked for longest, else the one that idles longest;
    /// true if there was one.
    fn make_room(&self) -> bool {
        let seats = self.seats.borrow();
        let longest = |at: At, least: Duration| {
            let of = seats.values().filter(|seat| seat.at.get() == at && seat.since.get().elapsed() >= least);
            of.min_by_key(|seat| seat.since.get())
        };
        let ending = longest(At::Ending, Duration::ZERO);
        let usual =
            || longest(At::Silent, CLIENT_SILENT_LEAST).or_else(|| longest(At::Idle, CLIENT_IDLE_LEAST));
        let let_go = ending.is_none().then(usual).flatten().inspect(|_| COUNTERS.clients_let_go.increment());
        let Some(seat) = ending.or(let_go) else { return false };
        seat.at.set(At::Leaving);
        seat.leave.notify_one();
        true
    }

    /// From now on a connection ends after its answer, or at once where nothing more is asked; one that has
    /// not asked yet gets a moment to do so.
    pub fn stop(&self) {
        self.stopped.set(self.stopped.get().or(Some((Instant::now(), self.clock.now()))));
        self.seats.borrow().values().for_each(|seat| seat.leave.notify_one());
    }

    pub fn open(&self) -> usize {
        self.seats.borrow().len()
    }

    /// Those with an open txn.
    pub fn busy(&self) -> usize {
        self.seats.borrow().values().filter(|seat| seat.at.get() == At::Busy).count()
    }

    async fn serve(&self, stream: &TcpStream, seat: &Seat, room: bool) -> io::Result<End> {
        stream.set_nodelay(true)?;
        let (mut frontend, mut inbox, mut faults) = (Frontend::default(), Inbox::default(), 0);
        let mut begun = None;
        loop {
            inbox.note(stream, self.clock.now());
            let asked = match frontend.next(&mut inbox.buf) {
                Ok(asked) => asked,
                Err(broken) => {
                    blame(stream, &broken.to_string(), &COUNTERS.broken_streams);
                    let last = pg::error(true, pg::PROTOCOL, &broken.to_string(), None);
                    return write(stream, &[last]).await.map(|()| End::Refused);
                }
            };
            // One byte at a time, a command would never be late if each byte gave it more time.
            let came = inbox.came.take(inbox.buf.len());
            begun =
                if inbox.buf.is_empty() || asked.is_some() { None } else { begun.or(Some(Instant::now())) };
            let fault = match asked {
                None => match self.more(stream, seat, &mut inbox, begun).await? {
                    More::Read => continue,
                    More::Left => return Ok(End::Quiet),
                    More::Closing if seat.asked.get() && seat.at.get() == At::Leaving => {
                        return Ok(End::Quiet);
                    }
                    More::Closing if seat.asked.get() => return Ok(End::Answered),
                    More::Closing => {
                        // Closed without a word, it would not know that coming again is harmless.
                        COUNTERS.clients_turned_away.increment();
                        let last = pg::error(true, pg::TOO_MANY, "no room, or stopping: come again", None);
                        return write(stream, &[last]).await.map(|()| End::Refused);
                    }
                    More::Late => {
                        blame(stream, "nothing whole was asked in time", &COUNTERS.clients_late);
                        let last = pg::error(true, pg::PROTOCOL, "nothing whole was asked in time", None);
                        return write(stream, &[last]).await.map(|()| End::Refused);
                    }
                },
                Some(Asked::Encryption) => {
                    write(stream, &[Bytes::from_static(b"N")]).await?;
                    continue;
                }
                Some(Asked::Cancel | Asked::Terminate) => return Ok(End::Answered),
                Some(Asked::Startup) if !room => {
                    COUNTERS.clients_turned_away.increment();
                    let last = pg::error(true, pg::TOO_MANY, "too many connections", None);
                    return write(stream, &[last]).await.map(|()| End::Refused);
                }
                Some(Asked::Startup) => {
                    write(stream, &[pg::greeting()]).await?;
                    continue;
                }
                Some(Asked::Sync) => {
                    write(stream, &[Bytes::from_static(pg::READY)]).await?;
                    continue;
                }
                Some(Asked::Extended) => (pg::UNSUPPORTED, "only simple queries are known here", false),
                Some(Asked::Query(text)) if text.trim_ascii().is_empty() => {
                    write(stream, &[Bytes::from_static(pg::EMPTY), Bytes::from_static(pg::READY)]).await?;
                    continue;
                }
                Some(Asked::Query(text)) => match self.admitted(text) {
                    Ok(statement) => {
                        seat.at.set(At::Busy);
                        seat.asked.set(true);
                        let came = came.unwrap_or_else(|| self.clock.now());
                        let answered = self.take(stream, seat, &mut inbox, statement, came).await;
                        seat.at.set(At::Idle);
                        seat.since.set(Instant::now());
                        answered?;
                        continue;
                    }
                    Err((code, why)) => (code, why, true),
                },
            };
            faults += 1;
            let (code, why, ready) = fault;
            blame(stream, why, &COUNTERS.bad_queries);
            let fatal = faults >= CLIENT_FAULTS;
            let error = pg::error(fatal, code, why, None);
            let after = if ready && !fatal { pg::READY } else { &[] };
            write(stream, &[error, Bytes::from_static(after)]).await?;
            if fatal {
                return Ok(End::Refused);
            }
        }
    }

    /// Reads a statement; what is wrong with it stays here, no server has to look at it.
    fn admitted(&self, text: Bytes) -> Result<Rc<Statement>, (&'static str, &'static str)> {
        let statement = pg::statement(text).map_err(|why| (pg::SYNTAX, why))?;
        let product = self.products.iter().find(|(name, _)| *name == statement.product);
        match product {
            None => Err((pg::SYNTAX, "comment: c is no product")),
            Some((_, true)) if !statement.keyed => Err((pg::SYNTAX, "comment: k is missing")),
            _ if self.ids.borrow().contains(&statement.id) => {
                Err((pg::TWICE, "comment: id is that of an open txn"))
            }
            _ => Ok(Rc::new(statement)),
        }
    }

    /// Hands a txn on and writes its answer.
    async fn take(
        &self, stream: &TcpStream, seat: &Seat, inbox: &mut Inbox, statement: Rc<Statement>, came: Millis,
    ) -> io::Result<()> {
        if self.comes_too_late(came) {
            COUNTERS.txns.increment();
            COUNTERS.declined.increment();
            return write(stream, &[declined(None), Bytes::from_static(pg::READY)]).await;
        }
        let number = self.txns.replace(self.txns.get().wrapping_add(1));
        let (reply, answer) = oneshot::channel();
        let id = statement.id.clone();
        self.ids.borrow_mut().insert(id.clone());
        let _ = self
            .notes
            .send(DriverEvent::RequestReceived { id: RequestId(number), statement, arrived_at: came, reply })
            .await;
        let answered = self.answer(stream, seat, inbox, RequestId(number), answer).await;
        self.ids.borrow_mut().remove(&id);
        if answered.is_err() {
            let _ = self.notes.send(DriverEvent::ClientDisconnected { id: RequestId(number) }).await;
        }
        answered
    }

    /// Reads on, within the time that is left; `begun`: when a command began to come that is not whole yet.
    async fn more(
        &self, stream: &TcpStream, seat: &Seat, inbox: &mut Inbox, begun: Option<Instant>,
    ) -> io::Result<More> {
        let asked = seat.asked.get();
        let until = match begun {
            _ if !asked => seat.since.get() + CLIENT_FIRST,
            Some(begun) => begun + CLIENT_HALF,
            None => seat.since.get() + CLIENT_IDLE,
        };
        let late = if asked && begun.is_none() { More::Left } else { More::Late };
        // Checked first: one that never stops sending is always ready to be read.
        if Instant::now() >= until {
            return Ok(late);
        }
        // One that never leaves a moment without another txn is closed over it: the process is killed just
        // then.
        if self.stopped.get().is_some_and(|(since, _)| since.elapsed() >= self.ends_within + LAST_CLOSES) {
            return Ok(More::Closing);
        }
        let (pipelined, entered, held) = (inbox.pipelined, Instant::now(), inbox.buf.len());
        let leaves = async {
            loop {
                let wanted = match (seat.at.get(), self.stopped.get()) {
                    (At::Leaving, _) => return,
                    // While all stops the rest of a command is still waited for.
                    (_, Some(_)) if begun.is_some() => None,
                    // Behind the last answer another query may be under way: only a pause tells that there is
                    // none.
                    (_, Some(_)) if asked && pipelined => Some(entered + QUIET),
                    (_, Some(_)) if asked => return,
                    // One that has just come is about to ask.
                    (_, Some((since, _))) => Some(since.max(seat.since.get()) + LAST_FIRST),
                    (_, None) => None,
                };
                select! {
                    () = seat.leave.notified() => {}
                    () = sleep_until(wanted.unwrap_or(until)), if wanted.is_some() => return,
                }
            }
        };
        select! {
            biased;
            read = self.rest(stream, &mut inbox.buf) => Ok(if read? > 0 { More::Read } else { More::Left }),
            // What has come by the time that the connection is to be closed is still taken.
            () = leaves => {
                // A full read gives up its turn, and then this comes first.
                let read = inbox.buf.len() > held;
                let read = read || has_unread_bytes(stream) && read_some(stream, &mut inbox.buf).await? > 0;
                Ok(if read { More::Read } else { More::Closing })
            }
            () = sleep_until(until) => Ok(late),
        }
    }

    /// True where all stops and a txn came so late that it might not be answered before the process is
    /// killed.
    fn comes_too_late(&self, came: Millis) -> bool {
        self.stopped
            .get()
            .is_some_and(|(since, at)| came >= at + LAST_TAKES || since.elapsed() >= self.ends_within)
    }

    /// Waits until the process is about to be killed.
    async fn last_moment(&self, seat: &Seat) {
        loop {
            match self.stopped.get() {
                Some((since, _)) => return sleep_until(since + self.ends_within).await,
                None => seat.leave.notified().await,
            }
        }
    }

    /// Reads the rest of a command: on so many connections at once where it is long.
    async fn rest(&self, stream: &TcpStream, buf: &mut BytesMut) -> io::Result<usize> {
        if buf.len() < HELD {
            return read_some(stream, buf).await;
        }
        let _place = self.large.acquire().await;
        let (before, whole) = (buf.len(), pg::length(buf));
        while buf.len() < whole {
            if read_some(stream, buf).await? == 0 {
                return Ok(0);
            }
        }
        Ok(buf.len() - before)
    }

    /// Waits for the final answer and writes it; an error: the client has gone away.
    async fn answer(
        &self, stream: &TcpStream, seat: &Seat, inbox: &mut Inbox, id: RequestId,
        mut answer: oneshot::Receiver<Answer>,
    ) -> io::Result<()> {
        let mut given_up = false;
        let given = loop {
            inbox.note(stream, self.clock.now());
            let (reads, behind) = (inbox.buf.len() < HELD, !inbox.buf.is_empty());
            inbox.pipelined |= behind;
            let Inbox { buf, seen, .. } = inbox;
            select! {
                biased;
                given = &mut answer => break given,
                // What is behind this one has to be answered as well.
                () = self.last_moment(seat), if behind && !given_up => {
                    given_up = true;
                    let _ = self.notes.send(DriverEvent::Abandon { id }).await;
                }
                read = read_some(stream, buf), if reads => {
                    if read? == 0 {
                        return Err(io::ErrorKind::UnexpectedEof.into());
                    }
                }
                // Behind so much that waits unread its end cannot be read.
                () = has_ended(stream, || waits(seen, stream, self.clock.now())), if !reads => {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            }
        };
        invariant!(given.is_ok(), "every txn gets an answer");
        let (ready, since) = (Bytes::from_static(pg::READY), self.clock.now());
        let written = match given.unwrap_or(Answer::Failed) {
            Answer::Success([described, row, complete]) => {
                write(stream, &[described, row, complete, ready]).await
            }
            Answer::Rejected { retry_after } => write(stream, &[declined(retry_after), ready]).await,
            Answer::Failed => {
                write(stream, &[pg::error(false, pg::INTERNAL, "voided: it may have run", None), ready]).await
            }
        };
        // A client that takes its answer slowly may have sent on meanwhile.
        if self.clock.now() - since > ANSWER_SLOW {
            waits(&mut inbox.seen, stream, since);
        }
        written
    }
}

/// Counts bad input, and tells whose it was and why; of lines that clients can bring about at will, few are
/// logged.
fn blame(stream: &TcpStream, why: &str, count: &Metric) {
    let peer = stream.peer_addr().ok().map(tracing::field::display);
    match count.value().is_multiple_of(LOGGED_OF) {
        true => tracing::info!(peer, why, "clients: bad input"),
        false => tracing::debug!(peer, why, "clients: bad input"),
    }
    count.increment();
}

/// What a client gets that may come again.
fn declined(come_back: Option<Millis>) -> Bytes {
    let after = come_back.map(|after| format!("{}", after.ceil()));
    pg::error(false, pg::TOO_MANY, "declined: trying again is harmless", after)
}

/// Ends a connection so that what was told last arrives: closed at once over unread bytes, it would be reset,
/// and a reset takes with it what the client has not read yet.
async fn linger(stream: &TcpStream, seat: &Seat, end: End) {
    if matches!(end, End::Quiet) || SockRef::from(stream).shutdown(Shutdown::Write).is_err() {
        return;
    }
    let parted = async {
        match end {
            End::Refused => {
                let (mut buf, mut left) = (BytesMut::new(), LINGER_BYTES);
                while let Ok(read @ 1..) = read_some(stream, &mut buf).await
                    && left > 0
                {
                    left = left.saturating_sub(read);
                    buf.clear();
                }
            }
            // What comes now was not read and never will be: its client sends it again elsewhere.
            End::Answered | End::Quiet => has_ended(stream, || ()).await,
        }
    };
    select! {
        () = parted => {}
        () = sleep(LINGER) => {}
        () = async {
            while seat.at.get() != At::Leaving {
                seat.leave.notified().await;
            }
        } => {}
    }
}

/// Waits until a client has ended its sending, without reading what it sent before that.
async fn has_ended(stream: &TcpStream, mut looks: impl FnMut()) {
    while !is_closed_by_peer(stream) {
        looks();
        sleep(GONE_LOOK).await;
    }
}

/// Writes all to a client, which may not take for ever.
async fn write(stream: &TcpStream, pieces: &[Bytes]) -> io::Result<()> {
    timeout(CLIENT_STALL, write_all(stream, pieces)).await.map_err(io::Error::from)?
}

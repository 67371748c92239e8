//! Connections to servers: one task each, one txn at a time on each, and the pool that the gateway holds.

use super::{IDLE_SHARE, LARGE_ANSWER, LARGE_ANSWERS_AT_ONCE, Note, SETTLE, read_some, unfit, write_all};
use crate::counters::COUNTERS;
use crate::invariant;
use crate::proto::pg::{self, Backend, Statement, Told};
use bytes::{Bytes, BytesMut};
use latchhaven_policy::RequestId;
use latchhaven_policy::{
    AttemptOutcome, EndpointEntry, EndpointStatus, LoadReport, LoadReporting, Millis,
    UpstreamConnectionConfig,
};
use socket2::SockRef;
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::select;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::time::{Instant, sleep_until, timeout, timeout_at};

/// What is sent to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum UpstreamCall {
    /// An attempt of a request; attempts are numbered from 0.
    Attempt {
        /// The request.
        id: RequestId,
        /// The number of the attempt.
        attempt: u32,
    },
    /// A health check, by its number.
    HealthCheck(u64),
}

/// A call that waits for a connection, or goes out on one.
struct Job {
    call: UpstreamCall,
    /// None: a probe.
    statement: Option<Rc<Statement>>,
    until: Millis,
    /// Its last byte may not be written later.
    by: Option<Instant>,
}

/// What is to be written, and by when.
type Pieces = (Vec<Bytes>, Option<Instant>);

/// One connection to a server.
pub struct Link {
    instance: String,
    life: u64,
    stream: OnceCell<TcpStream>,
    over: Cell<bool>,
    written: Cell<bool>,
    call: Cell<Option<UpstreamCall>>,
    idle_from: Cell<Instant>,
    pieces: RefCell<Option<Pieces>>,
    wake: Notify,
}

impl Link {
    /// Closes it towards the server at once: nothing written later can overtake this.
    fn close(&self) {
        self.over.set(true);
        if let Some(stream) = self.stream.get() {
            let _ = SockRef::from(stream).shutdown(Shutdown::Both);
        }
        self.wake.notify_one();
    }

    async fn closed(&self) {
        while !self.over.get() {
            self.wake.notified().await;
        }
    }
}

struct Spot {
    addr: SocketAddr,
    /// Counts what is new under the id: another address, build or start.
    life: u64,
    listing: EndpointEntry,
    idle: Vec<Rc<Link>>,
    dialing: usize,
    waiting: VecDeque<Job>,
}

/// Where a call was when it was stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelResult {
    /// Its last byte was never written.
    Unwritten,
    Written,
    /// Nothing is out under that name.
    NotFound,
}

/// All connections to servers.
pub struct Pool {
    spots: BTreeMap<String, Spot>,
    carrying: BTreeMap<UpstreamCall, Rc<Link>>,
    open: usize,
    most: usize,
    lives: u64,
    connections: UpstreamConnectionConfig,
    /// Who may hold a large answer.
    large: Arc<Semaphore>,
    notes: mpsc::Sender<Note>,
}

impl Pool {
    pub fn new(most: usize, connections: UpstreamConnectionConfig, notes: mpsc::Sender<Note>) -> Self {
        let (spots, carrying) = (BTreeMap::new(), BTreeMap::new());
        let large = Arc::new(Semaphore::new(LARGE_ANSWERS_AT_ONCE));
        Pool { spots, carrying, open: 0, most, lives: 0, connections, large, notes }
    }

    /// Takes over what the list says of an instance; returns what had not been written to it and has to be
    /// decided anew.
    pub fn relist(&mut self, listing: &EndpointEntry, addr: SocketAddr) -> Vec<UpstreamCall> {
        if listing.status == EndpointStatus::Removed {
            return self.delist(&listing.endpoint);
        }
        let life = self.lives + 1;
        let spot = self.spots.entry(listing.endpoint.clone()).or_insert_with(|| Spot {
            addr,
            life,
            listing: listing.clone(),
            idle: Vec::new(),
            dialing: 0,
            waiting: VecDeque::new(),
        });
        let (old, new) = (&spot.listing, listing);
        let same = (spot.addr, old.version, old.started_at) == (addr, new.version, new.started_at);
        let stays = same && (old.status == new.status || new.status == EndpointStatus::Ready);
        (spot.listing, spot.addr) = (listing.clone(), addr);
        if spot.life != life && stays {
            return Vec::new();
        }
        // Connections that are still being opened belong to what was there before.
        (self.lives, spot.life, spot.dialing) = (life, life, 0);
        spot.idle.drain(..).for_each(|link| link.close());
        spot.waiting.drain(..).map(|job| job.call).collect()
    }

    /// An instance has left the list.
    pub fn delist(&mut self, instance: &str) -> Vec<UpstreamCall> {
        let Some(spot) = self.spots.remove(instance) else { return Vec::new() };
        spot.idle.iter().for_each(|link| link.close());
        spot.waiting.into_iter().map(|job| job.call).collect()
    }

    /// Notes what is held now.
    pub fn count(&self) {
        COUNTERS.now_servers.set(self.spots.len());
        COUNTERS.now_server_connections.set(self.open);
    }

    pub fn listed(&self) -> Vec<String> {
        self.spots.keys().cloned().collect()
    }

    /// Everything that waits for a connection, back to be decided anew.
    pub fn unwritten(&mut self) -> Vec<UpstreamCall> {
        self.spots.values_mut().flat_map(|spot| spot.waiting.drain(..)).map(|job| job.call).collect()
    }

    /// Sends on an idle connection, or opens one. False: no connection can be had, nothing was sent.
    pub fn send(
        &mut self, instance: &str, call: UpstreamCall, statement: Option<Rc<Statement>>, until: Millis,
        by: Option<Instant>, now: Millis,
    ) -> bool {
        let job = Job { call, statement, until, by };
        let Some(spot) = self.spots.get_mut(instance) else { return false };
        let fresh = Duration::from_secs_f64(self.connections.idle_timeout * IDLE_SHARE / 1000.0);
        while let Some(link) = spot.idle.pop() {
            if !link.over.get()
                && link.idle_from.get().elapsed() < fresh
                && !link.stream.get().is_none_or(unfit)
            {
                self.carry(link, job, now);
                return true;
            }
            link.close();
        }
        if self.open >= self.most && !self.make_room() {
            return false;
        }
        self.open += 1;
        COUNTERS.server_connections_most.record_max(self.open);
        COUNTERS.server_dials.increment();
        let Some(spot) = self.spots.get_mut(instance) else { return false };
        spot.waiting.push_back(job);
        spot.dialing += 1;
        let link = Rc::new(Link {
            instance: instance.to_string(),
            life: spot.life,
            stream: OnceCell::new(),
            over: Cell::new(false),
            written: Cell::new(false),
            call: Cell::new(None),
            idle_from: Cell::new(Instant::now()),
            pieces: RefCell::new(None),
            wake: Notify::new(),
        });
        let (connections, large) = (self.connections.clone(), self.large.clone());
        tokio::task::spawn_local(run(link, spot.addr, connections, large, self.notes.clone()));
        true
    }

    /// Closes the connection that has idled longest; its descriptor is free a moment later.
    fn make_room(&mut self) -> bool {
        let oldest = |spot: &&mut Spot| spot.idle.iter().map(|link| link.idle_from.get()).min();
        let spots = self.spots.values_mut().filter(|spot| !spot.idle.is_empty());
        let Some(spot) = spots.min_by_key(oldest) else { return false };
        let link = spot.idle.remove(0);
        link.close();
        true
    }

    fn carry(&mut self, link: Rc<Link>, job: Job, now: Millis) {
        invariant!(link.call.replace(Some(job.call)).is_none(), "one txn at a time on a connection");
        link.written.set(false);
        let pieces = match &job.statement {
            Some(statement) => pg::passed_on(statement, job.until - now).to_vec(),
            None if self.connections.load_reporting == LoadReporting::InHealthChecks => {
                vec![pg::query("SHOW load")]
            }
            None => vec![pg::query("SELECT 1")],
        };
        *link.pieces.borrow_mut() = Some((pieces, job.by));
        link.wake.notify_one();
        self.carrying.insert(job.call, link);
    }

    /// A connection is up or ready again: it takes what waits longest, or idles.
    pub fn free(&mut self, link: Rc<Link>, first: bool, now: Millis) {
        let Some(spot) = self.spots.get_mut(&link.instance) else { return link.close() };
        if spot.life != link.life || link.over.get() {
            return link.close();
        }
        spot.dialing -= usize::from(first);
        match spot.waiting.pop_front() {
            Some(job) => self.carry(link, job, now),
            None => {
                link.idle_from.set(Instant::now());
                spot.idle.push(link);
            }
        }
    }

    /// A connection never came up: what waits for it could not be sent.
    pub fn not_up(&mut self, link: &Rc<Link>) -> Option<UpstreamCall> {
        self.open -= 1;
        let spot = self.spots.get_mut(&link.instance).filter(|spot| spot.life == link.life)?;
        spot.dialing -= 1;
        // Others may still come up for those that wait.
        (spot.waiting.len() > spot.dialing).then(|| spot.waiting.pop_front())?.map(|job| job.call)
    }

    /// A connection has ended.
    pub fn over(&mut self, link: &Rc<Link>) {
        invariant!(link.call.get().is_none(), "an ended connection carries nothing");
        self.open -= 1;
        if let Some(spot) = self.spots.get_mut(&link.instance) {
            spot.idle.retain(|idle| !Rc::ptr_eq(idle, link));
        }
    }

    /// What a connection carried has ended; none if it was stopped before.
    pub fn ended(&mut self, link: &Rc<Link>) -> Option<UpstreamCall> {
        let call = link.call.take()?;
        self.carrying.remove(&call);
        Some(call)
    }

    /// Stops a call: takes it out of the queue, or closes its connection.
    pub fn stop(&mut self, instance: &str, call: UpstreamCall) -> CancelResult {
        if self.take_back(instance, call) {
            return CancelResult::Unwritten;
        }
        let Some(link) = self.carrying.remove(&call) else { return CancelResult::NotFound };
        link.call.set(None);
        link.close();
        CancelResult::Written
    }

    /// Stops a call if its last byte was not written yet; false: it was, or nothing is out under that
    /// name.
    pub fn take_back(&mut self, instance: &str, call: UpstreamCall) -> bool {
        if self.carrying.get(&call).is_some_and(|link| !link.written.get()) {
            let link = self.carrying.remove(&call);
            link.inspect(|link| link.call.set(None)).inspect(|link| link.close());
            return true;
        }
        let Some(spot) = self.spots.get_mut(instance) else { return false };
        let at = spot.waiting.iter().position(|job| job.call == call);
        at.and_then(|at| spot.waiting.remove(at)).is_some()
    }

    pub fn close_idle(&mut self, instance: &str) {
        let idle = self.spots.get_mut(instance).map(|spot| std::mem::take(&mut spot.idle));
        idle.into_iter().flatten().for_each(|link| link.close());
    }
}

/// Opens a connection and waits for the server to be ready for a query.
async fn reach(link: &Link, addr: SocketAddr, backend: &mut Backend, buf: &mut BytesMut) -> io::Result<()> {
    let stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    let stream = link.stream.get_or_init(|| stream);
    write_all(stream, &[pg::startup()]).await?;
    let unfit = |what: &str| io::Error::new(io::ErrorKind::InvalidData, what.to_string());
    loop {
        match backend.next(buf).map_err(|fault| unfit(&fault.to_string()))? {
            Some(Told::Ready) => return Ok(()),
            Some(Told::Parameter(..)) => {}
            Some(Told::Failed(code)) => return Err(unfit(&code)),
            Some(Told::Value(_)) => return Err(unfit("a row before any query")),
            None if read_some(stream, buf).await? == 0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            None => {}
        }
    }
}

/// Drives one connection from its opening to its end.
async fn run(
    link: Rc<Link>, addr: SocketAddr, connections: UpstreamConnectionConfig, large: Arc<Semaphore>,
    notes: mpsc::Sender<Note>,
) {
    let (mut backend, mut buf) = (Backend::default(), BytesMut::new());
    let within = Duration::from_secs_f64(connections.connect_timeout / 1000.0);
    let up = select! {
        up = timeout(within, reach(&link, addr, &mut backend, &mut buf)) => up.map_err(io::Error::from),
        () = link.closed() => Err(io::ErrorKind::ConnectionAborted.into()),
    };
    if let Err(why) = up.and_then(|up| up) {
        COUNTERS.server_dials_failed.increment();
        let connected = link.stream.get().is_some();
        tracing::debug!(instance = link.instance, %why, connected, "no connection");
        let _ = notes.send(Note::NotUp { link }).await;
        return;
    }
    let (mut first, idle) = (true, connections.idle_timeout * (1.0 + IDLE_SHARE) / 2000.0);
    let Some(stream) = link.stream.get() else { return };
    loop {
        let _ = notes.send(Note::Free { link: link.clone(), first: std::mem::take(&mut first) }).await;
        let until = Instant::now() + Duration::from_secs_f64(idle);
        let Some(pieces) = next_pieces(&link, stream, until, &mut backend, &mut buf).await else { break };
        let sent = select! {
            sent = converse(&link, stream, pieces, &mut backend, &mut buf, connections.load_reporting, &large) => sent,
            () = link.closed() => break,
        };
        let (ending, value, load, next) = sent;
        let _ = notes.send(Note::Ended { link: link.clone(), ending, value, load }).await;
        let ready = match next {
            Next::Ready => true,
            Next::Settling => timeout(SETTLE, settled(stream, &mut backend, &mut buf)).await == Ok(true),
            Next::Over => false,
        };
        if !ready {
            break;
        }
        // A second copy or noise behind the answer: no longer in step.
        if !buf.is_empty() || unfit(stream) {
            COUNTERS.server_unasked.increment();
            break;
        }
    }
    link.close();
    if link.call.get().is_some() && !link.written.get() {
        // Handed over just as the connection ended.
        let (ending, value, load) = (AttemptOutcome::ConnectFailed, None, LoadReport::default());
        let _ = notes.send(Note::Ended { link: link.clone(), ending, value, load }).await;
    }
    let _ = notes.send(Note::Over { link }).await;
}

/// Idles until there is something to send; none where the connection ends first.
async fn next_pieces(
    link: &Link, stream: &TcpStream, until: Instant, backend: &mut Backend, buf: &mut BytesMut,
) -> Option<Pieces> {
    while !link.over.get() {
        if let Some(pieces) = link.pieces.take() {
            return Some(pieces);
        }
        select! {
            () = link.wake.notified() => {}
            read = read_some(stream, buf) => {
                if read.ok()? == 0 {
                    return None;
                }
                while let Some(told) = backend.next(buf).ok()? {
                    // Between queries only parameters may come, and notices.
                    matches!(told, Told::Parameter(..)).then_some(())?;
                }
                // A second copy that has only begun to come would be taken for the next one's answer.
                buf.is_empty().then_some(())?;
            }
            () = sleep_until(until) => return None,
        }
    }
    None
}

/// A row that counts among the large ones for as long as it is held.
struct Large {
    row: Bytes,
    _place: OwnedSemaphorePermit,
}

impl AsRef<[u8]> for Large {
    fn as_ref(&self) -> &[u8] {
        &self.row
    }
}

/// What follows an answer.
#[derive(PartialEq)]
enum Next {
    Ready,
    /// The answer is whole, ReadyForQuery has not come yet.
    Settling,
    Over,
}

/// Sends one query and reads its answer: the ending, the value, the report, and what follows.
async fn converse(
    link: &Link, stream: &TcpStream, (pieces, by): Pieces, backend: &mut Backend, buf: &mut BytesMut,
    reports: LoadReporting, large: &Arc<Semaphore>,
) -> (AttemptOutcome, Option<[Bytes; 3]>, LoadReport, Next) {
    // Handed over in the moment in which something came that nobody asked for.
    if !buf.is_empty() || unfit(stream) {
        COUNTERS.server_unasked.increment();
        return (AttemptOutcome::NotSent, None, LoadReport::default(), Next::Over);
    }
    // Looked at here, where it is written: a process that stood still since was handed it in time.
    if by.is_some_and(|by| Instant::now() >= by) {
        return (AttemptOutcome::NotSent, None, LoadReport::default(), Next::Over);
    }
    let written = async {
        match by {
            Some(by) => timeout_at(by, write_all(stream, &pieces)).await.map_err(io::Error::from)?,
            None => write_all(stream, &pieces).await,
        }
    };
    if written.await.is_err() {
        return (AttemptOutcome::ConnectFailed, None, LoadReport::default(), Next::Over);
    }
    link.written.set(true);
    let (mut ended, mut load, mut place) = (None, LoadReport::default(), None);
    loop {
        match backend.next(buf) {
            Ok(Some(Told::Value([described, row, complete]))) if ended.is_none() => {
                let row = match place.take() {
                    Some(place) => Bytes::from_owner(Large { row, _place: place }),
                    None => row,
                };
                ended = Some((AttemptOutcome::Success, Some([described, row, complete])));
            }
            Ok(Some(Told::Failed(code))) if ended.is_none() => {
                let never = [pg::TOO_MANY, pg::STARTING].contains(&code.as_str());
                tracing::debug!(instance = link.instance, code, "error of a server");
                ended = Some((if never { AttemptOutcome::Rejected } else { AttemptOutcome::Error }, None));
            }
            Ok(Some(Told::Parameter(name, text))) => {
                if name == "load" && reports == LoadReporting::InResponses {
                    load = pg::load(&text);
                }
            }
            Ok(Some(Told::Ready)) if ended.is_some() => {
                let (ending, value) = ended.unwrap_or((AttemptOutcome::ConnectionLost, None));
                return (ending, value, load, Next::Ready);
            }
            Ok(None) => {
                // Whole already: the client need not wait for what follows.
                if let Some((ending, value)) = ended {
                    return (ending, value, load, Next::Settling);
                }
                if place.is_none() && buf.len() > LARGE_ANSWER {
                    place = large.clone().acquire_owned().await.ok();
                }
                if !matches!(read_some(stream, buf).await, Ok(count) if count > 0) {
                    return (AttemptOutcome::ConnectionLost, None, load, Next::Over);
                }
            }
            out_of_step => {
                // It has run, or may have: an error of the server as far as any txn goes.
                COUNTERS.server_spoilt.increment();
                tracing::debug!(instance = link.instance, ?out_of_step, "malformed answer of a server");
                let (ending, value) = ended.unwrap_or((AttemptOutcome::Error, None));
                return (ending, value, load, Next::Over);
            }
        }
    }
}

/// Reads on until the server is ready again.
async fn settled(stream: &TcpStream, backend: &mut Backend, buf: &mut BytesMut) -> bool {
    loop {
        match backend.next(buf) {
            Ok(Some(Told::Ready)) => return true,
            Ok(Some(Told::Parameter(..))) => {}
            Ok(None) if matches!(read_some(stream, buf).await, Ok(count) if count > 0) => {}
            _ => return false,
        }
    }
}

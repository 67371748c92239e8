//! The driver: connections on tokio, one task that owns the pool, and calls that borrow connections from it. It
//! decides nothing.

use crate::budget::Budget;
use crate::call::{Call, Effect, End, Moment, Ms, Next, Verdict};
use crate::pool::{Bounds, Do, Pool};
use crate::wire::{self, Answer, Query, Reader};
use bytes::{Bytes, BytesMut};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::select;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout};

/// Calls whose wish for a connection was not taken in yet; further ones wait.
const WISHES: usize = 64;
/// Bytes read at once.
const READ: usize = 16 * 1024;
/// The pool is looked at this often at least while anything is open.
const LOOK: Duration = Duration::from_secs(1);

/// A value as a host gave it.
pub type Value = Bytes;

/// How a client is set up. `#[non_exhaustive]`: begin with [`Terms::new`].
#[derive(Clone, Debug)]
#[non_exhaustive]
pub struct Terms {
    /// Gateways; this process sticks to one of them by a rank of its own.
    pub gateways: Vec<SocketAddr>,
    /// Connections at once.
    pub connections: usize,
    /// Connections being opened at once.
    pub dials: usize,
    /// Calls that wait for a connection; the least worth of more are declined.
    pub waiting: usize,
    /// ms after which an idle connection is closed. Gateways close theirs after some two seconds.
    pub idle: Ms,
    /// ms after which any connection is closed, less up to a fifth by chance.
    pub age: Ms,
    /// ms in which a connection has to be up and ready.
    pub dial_within: Ms,
    /// ms that a txn needs at least: nothing is sent with less left.
    pub least: Ms,
    /// The tenant that is named to gateways.
    pub tenant: Option<String>,
    /// Seeds chance; two processes must not share one.
    pub seed: u64,
}

impl Terms {
    /// The usual terms for these gateways, with a seed from the system's clock and this process's number.
    pub fn new(gateways: Vec<SocketAddr>) -> Self {
        let nanos = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as u64;
        let seed = nanos ^ u64::from(std::process::id()).rotate_left(40);
        Terms {
            gateways,
            connections: 8,
            dials: 2,
            waiting: 256,
            idle: 1_500.0,
            age: 60_000.0,
            dial_within: 1_000.0,
            least: 5.0,
            tenant: None,
            seed,
        }
    }
}

/// A call that may be sent again whatever happened.
#[derive(Clone, Debug, PartialEq)]
pub struct InquiryLike {
    pub product: String,
    pub item: String,
    /// ms until nobody waits any more.
    pub expiry: Ms,
    /// Revenue: what is worth more goes first when room is short.
    pub revenue: f64,
}

/// A call with a key, by which hosts drop repeats for `remember` ms.
#[derive(Clone, Debug, PartialEq)]
pub struct Referenced {
    pub product: String,
    pub item: String,
    pub doc: Vec<u8>,
    pub key: String,
    /// ms, from the first try that may have run, in which hosts drop repeats.
    pub remember: Ms,
    pub expiry: Ms,
    pub revenue: f64,
}

/// A call whose effect must come about once at most. It is neither `Clone` nor taken by reference: asked once, it is
/// gone, so that it cannot be asked blindly again.
///
/// ```compile_fail
/// # async fn ask(client: latchhaven_client::Client, payment: latchhaven_client::OnceOnly) {
/// client.once(payment).await;
/// client.once(payment).await; // used after it was moved
/// # }
/// ```
///
/// ```compile_fail
/// # fn copy(payment: latchhaven_client::OnceOnly) {
/// let again = payment.clone(); // there is no second one
/// # }
/// ```
#[derive(Debug, PartialEq)]
pub struct OnceOnly {
    pub product: String,
    pub item: String,
    pub doc: Vec<u8>,
    pub expiry: Ms,
    pub revenue: f64,
}

/// What a once-only call came to.
#[derive(Debug, PartialEq)]
pub enum Once {
    Settled(Value),
    /// It never ran. The call is given back: asking it again is harmless.
    Declined(OnceOnly),
    /// It may have run; find out by other means before anything is done again.
    Unknown,
    /// A name in it cannot be sent: it never ran.
    Unfit(OnceOnly),
}

/// Why a call that may be asked again has no value.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Failure {
    /// It never ran.
    #[error("declined")]
    Declined,
    /// It came to nothing in time; asking again is harmless by its kind.
    #[error("failed")]
    Failed,
    /// It may have run, and hosts may have forgotten its key.
    #[error("unknown: it may have run")]
    Unknown,
    /// A name in it holds what the protocol has no place for, or is longer than 128 bytes.
    #[error("a name that cannot be sent")]
    Unfit,
}

/// A connection and what was read on it.
struct Conn {
    link: u64,
    stream: TcpStream,
    buf: BytesMut,
}

impl Conn {
    /// True where nothing may be written on it: its gateway has ended it, or said what nobody asked.
    fn unfit(&self) -> bool {
        let read = self.stream.try_read(&mut [0]);
        !matches!(read, Err(fault) if fault.kind() == std::io::ErrorKind::WouldBlock)
    }
}

/// What comes back to the pool. There is one at most for each connection.
enum Back {
    Up(u64, Box<Conn>),
    NotUp(u64),
    Free(Box<Conn>),
    Broke(u64),
    Silent(u64),
    Dropped(u64),
    Unwanted(u64),
}

struct Wish {
    call: u64,
    worth: f64,
    give: oneshot::Sender<Box<Conn>>,
}

struct Shared {
    terms: Terms,
    chance: Mutex<(Budget, Pcg64Mcg)>,
    began: Instant,
    calls: AtomicU64,
    wishes: mpsc::Sender<Wish>,
    back: mpsc::UnboundedSender<Back>,
    /// Tries that were written, and of them repeats.
    written: AtomicU64,
    repeated: AtomicU64,
}

impl Shared {
    fn now(&self) -> Moment {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1000.0;
        Moment { steady: self.began.elapsed().as_secs_f64() * 1000.0, wall }
    }

    fn chance(&self) -> MutexGuard<'_, (Budget, Pcg64Mcg)> {
        self.chance.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A client of some gateways. Clones share connections and budget.
#[derive(Clone)]
pub struct Client {
    shared: Arc<Shared>,
}

fn span(ms: Ms) -> Duration {
    Duration::from_secs_f64(ms.clamp(0.0, 86_400_000.0) / 1000.0)
}

impl Client {
    /// Starts a client on the present tokio runtime. It ends with its last clone.
    pub fn start(terms: Terms) -> Self {
        let (wishes, wished) = mpsc::channel(WISHES);
        let (back, backs) = mpsc::unbounded_channel();
        let bounds = Bounds {
            connections: terms.connections.max(1),
            dials: terms.dials.max(1),
            waiting: terms.waiting.max(1),
            idle: terms.idle,
            age: terms.age,
        };
        let pool = Pool::new(terms.gateways.len(), bounds, terms.seed);
        let rng = Pcg64Mcg::seed_from_u64(terms.seed ^ 0x5bd1_e995);
        let keeper = Keeper {
            pool,
            began: Instant::now(),
            gateways: terms.gateways.clone(),
            dial_within: span(terms.dial_within),
            idle: BTreeMap::new(),
            wishes: BTreeMap::new(),
            back: back.clone(),
        };
        tokio::spawn(keeper.run(wished, backs));
        let chance = Mutex::new((Budget::default(), rng));
        let (calls, written, repeated) = Default::default();
        let shared = Shared { terms, chance, began: Instant::now(), calls, wishes, back, written, repeated };
        Client { shared: Arc::new(shared) }
    }

    /// Tries that were written so far, and how many of them were repeats.
    pub fn tries(&self) -> (u64, u64) {
        let of = |count: &AtomicU64| count.load(Ordering::Relaxed);
        (of(&self.shared.written), of(&self.shared.repeated))
    }

    /// Asks an inquiry-like txn.
    ///
    /// # Errors
    /// [`Failure::Declined`], [`Failure::Failed`], [`Failure::Unfit`].
    pub async fn inquire(&self, call: &InquiryLike) -> Result<Value, Failure> {
        let InquiryLike { product, item, expiry, revenue } = call;
        let asked = Asked { product, item, doc: None, key: None };
        told(self.run(Effect::InquiryLike, asked, *expiry, *revenue).await)
    }

    /// Asks a referenced txn.
    ///
    /// # Errors
    /// As [`Client::inquire`], and [`Failure::Unknown`].
    pub async fn refer(&self, call: &Referenced) -> Result<Value, Failure> {
        let Referenced { product, item, doc, key, remember, expiry, revenue } = call;
        let asked = Asked { product, item, doc: Some(doc), key: Some(key) };
        told(self.run(Effect::Referenced { remember: *remember }, asked, *expiry, *revenue).await)
    }

    /// Asks a once-only txn.
    pub async fn once(&self, call: OnceOnly) -> Once {
        let OnceOnly { product, item, doc, expiry, revenue } = &call;
        let asked = Asked { product, item, doc: Some(doc), key: None };
        match self.run(Effect::OnceOnly, asked, *expiry, *revenue).await {
            None => Once::Unfit(call),
            Some((Verdict::Settled, value)) => Once::Settled(value),
            Some((Verdict::Declined, _)) => Once::Declined(call),
            Some((Verdict::Failed | Verdict::Unknown, _)) => Once::Unknown,
        }
    }

    /// One call until its verdict; none where a name in it is unfit. Dropped on the way, it closes what it used.
    async fn run(
        &self, effect: Effect, asked: Asked<'_>, expiry: Ms, worth: f64,
    ) -> Option<(Verdict, Value)> {
        let shared = &self.shared;
        if !asked.query(&shared.terms, "0", 1, false).fits() {
            return None;
        }
        let began = shared.now();
        let mut call = Call::new(effect, expiry, shared.terms.least, began);
        let mut next = call.begin(&mut shared.chance().0, &began);
        loop {
            let (after, repeat) = match next {
                Next::Give(verdict) => return Some((verdict, Value::new())),
                Next::Try { after, repeat } => (after, repeat),
            };
            if after > 0.0 {
                sleep(span(after)).await;
            }
            let left = call.left(&shared.now());
            let Ok(Some(mut held)) = timeout(span(left), self.want(worth)).await else {
                return Some((call.give_up(), Value::new()));
            };
            let sent = shared.now();
            let Some(told) = call.write(&sent) else {
                held.free();
                return Some((call.give_up(), Value::new()));
            };
            let id = format!("{:016x}", shared.chance().1.random::<u64>());
            let bytes = wire::query(&asked.query(&shared.terms, &id, told as u64, repeat))?;
            shared.written.fetch_add(1, Ordering::Relaxed);
            shared.repeated.fetch_add(u64::from(repeat), Ordering::Relaxed);
            let end = held.ask(&bytes, span(told)).await;
            let (end, value) = match end {
                Ok(value) => (End::Settled, value),
                Err(end) => (end, Value::new()),
            };
            let now = shared.now();
            let (budget, rng) = &mut *shared.chance();
            next = call.ended(end, sent, budget, rng, &now);
            if next == Next::Give(Verdict::Settled) {
                return Some((Verdict::Settled, value));
            }
        }
    }

    /// A connection, as soon as this call's turn comes; none where too many wait.
    async fn want(&self, worth: f64) -> Option<Held> {
        let call = self.shared.calls.fetch_add(1, Ordering::Relaxed);
        let (give, given) = oneshot::channel();
        let back = self.shared.back.clone();
        let mut wish = Wished { call, back: Some(back.clone()) };
        self.shared.wishes.send(Wish { call, worth, give }).await.ok()?;
        let conn = given.await.ok();
        wish.back = None;
        Some(Held { conn: Some(conn?), back })
    }
}

fn told(ended: Option<(Verdict, Value)>) -> Result<Value, Failure> {
    match ended {
        None => Err(Failure::Unfit),
        Some((Verdict::Settled, value)) => Ok(value),
        Some((Verdict::Declined, _)) => Err(Failure::Declined),
        Some((Verdict::Failed, _)) => Err(Failure::Failed),
        Some((Verdict::Unknown, _)) => Err(Failure::Unknown),
    }
}

/// What a call says, the same in each of its tries.
#[derive(Clone, Copy)]
struct Asked<'a> {
    product: &'a str,
    item: &'a str,
    doc: Option<&'a Vec<u8>>,
    key: Option<&'a String>,
}

impl<'a> Asked<'a> {
    fn query<'b>(&self, terms: &'b Terms, id: &'b str, left: u64, repeat: bool) -> Query<'b>
    where
        'a: 'b,
    {
        let (doc, key) = (self.doc.map(Vec::as_slice), self.key.map(String::as_str));
        let tenant = terms.tenant.as_deref();
        Query { id, product: self.product, tenant, item: self.item, doc, key, left, repeat }
    }
}

/// A wish that is taken back when its call is dropped.
struct Wished {
    call: u64,
    back: Option<mpsc::UnboundedSender<Back>>,
}

impl Drop for Wished {
    fn drop(&mut self) {
        if let Some(back) = &self.back {
            let _ = back.send(Back::Unwanted(self.call));
        }
    }
}

/// A connection in a call's hands. Dropped with a query under way it is closed: that gives the txn up.
struct Held {
    conn: Option<Box<Conn>>,
    back: mpsc::UnboundedSender<Back>,
}

impl Drop for Held {
    fn drop(&mut self) {
        if let Some(conn) = self.conn.take() {
            let _ = self.back.send(Back::Dropped(conn.link));
        }
    }
}

impl Held {
    fn free(&mut self) {
        if let Some(conn) = self.conn.take() {
            let _ = self.back.send(Back::Free(conn));
        }
    }

    fn broke(&mut self) {
        if let Some(conn) = self.conn.take() {
            let _ = self.back.send(Back::Broke(conn.link));
        }
    }

    /// Writes one query and reads its answer.
    async fn ask(&mut self, query: &Bytes, within: Duration) -> Result<Value, End> {
        let Some(conn) = &mut self.conn else { return Err(End::NeverSent) };
        let mut written = 0;
        let asking = async {
            while written < query.len() {
                let wrote = conn.stream.write(&query[written..]).await.map_err(|_| End::Lost)?;
                if wrote == 0 {
                    return Err(End::Lost);
                }
                written += wrote;
            }
            read(conn).await
        };
        let ended = timeout(within, asking).await;
        // Broken before its last byte was written, a query never ran.
        let whole = written == query.len();
        match ended {
            Ok(Ok(Answer::Value(value))) => {
                self.free();
                Ok(value)
            }
            Ok(Ok(Answer::Declined { come_back, fatal })) => {
                if fatal {
                    self.broke()
                } else {
                    self.free()
                }
                Err(End::Declined { come_back: come_back.map(|ms| ms as Ms) })
            }
            Ok(Ok(Answer::Failed { fatal, .. })) => {
                if fatal {
                    self.broke()
                } else {
                    self.free()
                }
                Err(End::Failed)
            }
            Ok(Ok(Answer::Ready) | Err(_)) => {
                self.broke();
                Err(if whole { End::Lost } else { End::NeverSent })
            }
            Err(_) => {
                // Closed, not kept: the answer may yet come on it.
                if let Some(conn) = self.conn.take() {
                    let _ = self.back.send(Back::Silent(conn.link));
                }
                Err(if whole { End::Silent } else { End::NeverSent })
            }
        }
    }
}

/// Reads one answer.
async fn read(conn: &mut Conn) -> Result<Answer, End> {
    let mut reader = Reader::default();
    loop {
        match reader.next(&mut conn.buf) {
            Ok(Some(answer)) => return Ok(answer),
            Err(_) => return Err(End::Lost),
            Ok(None) => {}
        }
        conn.buf.reserve(READ);
        match conn.stream.read_buf(&mut conn.buf).await {
            Ok(count) if count > 0 => {}
            _ => return Err(End::Lost),
        }
    }
}

/// The task that owns the pool.
struct Keeper {
    pool: Pool,
    began: Instant,
    gateways: Vec<SocketAddr>,
    dial_within: Duration,
    idle: BTreeMap<u64, Box<Conn>>,
    wishes: BTreeMap<u64, oneshot::Sender<Box<Conn>>>,
    back: mpsc::UnboundedSender<Back>,
}

impl Keeper {
    fn now(&self) -> Ms {
        self.began.elapsed().as_secs_f64() * 1000.0
    }

    async fn run(mut self, mut wished: mpsc::Receiver<Wish>, mut backs: mpsc::UnboundedReceiver<Back>) {
        loop {
            let wait = span((self.pool.next() - self.now()).max(0.5)).min(LOOK);
            let todo = select! {
                biased;
                back = backs.recv() => match back {
                    Some(back) => self.came_back(back),
                    None => return,
                },
                wish = wished.recv() => match wish {
                    Some(Wish { call, worth, give }) => {
                        self.look();
                        self.wishes.insert(call, give);
                        self.pool.want(call, worth, self.now())
                    }
                    // The last clone is gone; what is out is dropped with its calls.
                    None => return,
                },
                () = sleep(wait) => {
                    self.look();
                    self.pool.turn(self.now())
                }
            };
            self.carry_out(todo);
        }
    }

    /// Idle connections that their gateways have closed are let go: that is no failure.
    fn look(&mut self) {
        let over: Vec<u64> =
            self.idle.iter().filter(|(_, conn)| conn.unfit()).map(|(link, _)| *link).collect();
        for link in over {
            self.idle.remove(&link);
            let todo = self.pool.broke(link, None, self.now());
            self.carry_out(todo);
        }
    }

    fn came_back(&mut self, back: Back) -> Vec<Do> {
        let now = self.now();
        match back {
            Back::Up(link, conn) => {
                self.idle.insert(link, conn);
                self.pool.up(link, now)
            }
            Back::NotUp(link) => self.pool.not_up(link, now),
            Back::Free(conn) if conn.unfit() || !conn.buf.is_empty() => self.pool.dropped(conn.link, now),
            Back::Free(conn) => {
                let link = conn.link;
                self.idle.insert(link, conn);
                self.pool.free(link, now)
            }
            Back::Broke(link) => self.pool.broke(link, None, now),
            Back::Silent(link) => self.pool.silent(link, now),
            Back::Dropped(link) => self.pool.dropped(link, now),
            Back::Unwanted(call) => {
                self.wishes.remove(&call);
                self.pool.unwant(call);
                Vec::new()
            }
        }
    }

    fn carry_out(&mut self, todo: Vec<Do>) {
        let mut todo = std::collections::VecDeque::from(todo);
        while let Some(one) = todo.pop_front() {
            match one {
                Do::Dial { link, gateway } => {
                    let (addr, within, back) = (self.gateways[gateway], self.dial_within, self.back.clone());
                    tokio::spawn(async move {
                        let dialled = timeout(within, dial(link, addr)).await;
                        let _ = back.send(match dialled {
                            Ok(Some(conn)) => Back::Up(link, Box::new(conn)),
                            _ => Back::NotUp(link),
                        });
                    });
                }
                Do::Give { call, link } => {
                    let (give, conn) = (self.wishes.remove(&call), self.idle.remove(&link));
                    let Some(conn) = conn else { continue };
                    let given = match give {
                        Some(give) => give.send(conn),
                        None => Err(conn),
                    };
                    // Its call is gone: the connection is free again.
                    if let Err(conn) = given {
                        let now = self.now();
                        self.idle.insert(link, conn);
                        todo.extend(self.pool.free(link, now));
                    }
                }
                Do::Close { link } => drop(self.idle.remove(&link)),
                Do::Turn { call } => drop(self.wishes.remove(&call)),
            }
        }
    }
}

/// A connection that is up and ready.
async fn dial(link: u64, addr: SocketAddr) -> Option<Conn> {
    let mut stream = TcpStream::connect(addr).await.ok()?;
    stream.set_nodelay(true).ok()?;
    stream.write_all(&wire::startup()).await.ok()?;
    let mut conn = Conn { link, stream, buf: BytesMut::new() };
    matches!(read(&mut conn).await, Ok(Answer::Ready)).then_some(conn)
}

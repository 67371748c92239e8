//! An instance: one request at a time on each connection, the value tells for which request it was made.

use crate::record::note;
use crate::{now_ms, pg, sleep_ms};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Condvar, Mutex};

/// A query whose last byte has come.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: f64,
    pub instance: String,
    pub id: String,
    pub class: String,
    pub item: String,
    /// When the instance wrote its answer, if it served the request.
    pub served_at: Option<f64>,
    pub is_turned_away: bool,
}

pub type Arrivals = Arc<Mutex<Vec<Arrival>>>;

/// How an instance behaves; the functions get the number of the connection, from 0, and the class.
pub struct Behavior {
    /// From the startup message until the instance is ready for a query, in ms.
    pub startup_ms: Box<dyn Fn(usize) -> f64 + Send + Sync>,
    pub work_ms: Box<dyn Fn(&str) -> f64 + Send + Sync>,
    /// Requests that are worked on at the same time; others wait in order of arrival.
    pub slots: usize,
    /// An INSERT returns the document that it wrote; else a short text that names the request and the instance.
    pub returns_document: bool,
    /// By how many ms the second copy of an answer is late; `None` for most answers, which have none.
    pub second_answer_ms: Box<dyn Fn() -> Option<f64> + Send + Sync>,
    /// Whether the queue is full, by the traffic of other gateways: the query is turned away.
    pub is_full: Box<dyn Fn() -> bool + Send + Sync>,
    /// Whether an answer is wrong: whole and valid, but not what the client needs.
    pub is_wrong: Box<dyn Fn() -> bool + Send + Sync>,
}

impl Behavior {
    /// A sound instance that works so many ms on a request of a class, without a limit on requests at a time.
    pub fn sound(work_ms: impl Fn(&str) -> f64 + Send + Sync + 'static) -> Self {
        Behavior {
            startup_ms: Box::new(|_| 0.0),
            work_ms: Box::new(work_ms),
            slots: NO_LIMIT,
            returns_document: false,
            second_answer_ms: Box::new(|| None),
            is_full: Box::new(|| false),
            is_wrong: Box::new(|| false),
        }
    }
}

/// Free slots of an instance.
struct Slots {
    free: Mutex<usize>,
    freed: Condvar,
}

impl Slots {
    fn acquire(&self) {
        let mut free = self.freed.wait_while(self.free.lock().unwrap(), |free| *free == 0).unwrap();
        *free -= 1;
    }

    fn release(&self) {
        *self.free.lock().unwrap() += 1;
        self.freed.notify_one();
    }
}

/// Slots without a limit.
const NO_LIMIT: usize = usize::MAX / 2;

pub struct Instance {
    pub name: String,
    pub release: u32,
    pub addr: SocketAddr,
    pub is_draining: Arc<AtomicBool>,
    pub is_hanging: Arc<AtomicBool>,
    pub connections: Arc<AtomicUsize>,
}

struct Shared {
    name: String,
    behavior: Behavior,
    slots: Slots,
    arrivals: Arrivals,
    is_draining: Arc<AtomicBool>,
    is_hanging: Arc<AtomicBool>,
}

impl Instance {
    pub fn start(name: &str, release: u32, behavior: Behavior, arrivals: &Arrivals) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port on loopback");
        let addr = listener.local_addr().expect("the address of a listener");
        let is_draining = Arc::new(AtomicBool::new(false));
        let is_hanging = Arc::new(AtomicBool::new(false));
        let connections = Arc::new(AtomicUsize::new(0));
        let shared = Arc::new(Shared {
            name: name.to_string(),
            slots: Slots { free: Mutex::new(behavior.slots), freed: Condvar::new() },
            behavior,
            arrivals: arrivals.clone(),
            is_draining: is_draining.clone(),
            is_hanging: is_hanging.clone(),
        });
        let counter = connections.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let number = counter.fetch_add(1, SeqCst);
                let shared = shared.clone();
                std::thread::spawn(move || serve(stream, number, &shared));
            }
        });
        Instance { name: name.to_string(), release, addr, is_draining, is_hanging, connections }
    }
}

fn serve(mut stream: TcpStream, number: usize, shared: &Shared) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    pg::read_body(&mut stream).ok()?;
    sleep_ms((shared.behavior.startup_ms)(number));
    stream.write_all(&[pg::AUTHENTICATION_OK, pg::READY].concat()).ok()?;
    loop {
        let message = pg::read_message(&mut stream).ok()?;
        if message.kind != b'Q' {
            return None;
        }
        let at = now_ms();
        let text = String::from_utf8_lossy(&message.body[..message.body.len() - 1]).into_owned();
        let id = pg::field(&text, "id").unwrap_or_default();
        let class = pg::field(&text, "c").unwrap_or_default();
        let is_turned_away = shared.is_draining.load(SeqCst) || (shared.behavior.is_full)();
        let position = {
            let mut arrivals = shared.arrivals.lock().unwrap();
            arrivals.push(Arrival {
                at,
                instance: shared.name.clone(),
                id: id.clone(),
                class: class.clone(),
                item: pg::item(&text),
                served_at: None,
                is_turned_away,
            });
            arrivals.len() - 1
        };
        if is_turned_away {
            answer(&mut stream, shared, &id, &[&pg::error("53300"), pg::READY].concat())?;
            continue;
        }
        while shared.is_hanging.load(SeqCst) {
            sleep_ms(5.0);
        }
        shared.slots.acquire();
        sleep_ms((shared.behavior.work_ms)(&class));
        shared.slots.release();
        let tag = if text.starts_with("INSERT") { "INSERT 0 1" } else { "SELECT 1" };
        let document = if shared.behavior.returns_document { pg::document(&text) } else { None };
        let wrong = if (shared.behavior.is_wrong)() { " WRONG" } else { "" };
        let value = document.unwrap_or_else(|| format!("for {id} by {}{wrong}", shared.name).into_bytes());
        let load = pg::message(b'S', b"load\0queue=0,qps=10\0");
        let bytes = [load, pg::row(&value, tag), pg::READY.to_vec()].concat();
        shared.arrivals.lock().unwrap()[position].served_at = Some(now_ms());
        answer(&mut stream, shared, &id, &bytes)?;
    }
}

/// Writes an answer and, where it has one, its second copy, if not one byte of another query has come by then.
fn answer(stream: &mut TcpStream, shared: &Shared, id: &str, bytes: &[u8]) -> Option<()> {
    stream.write_all(bytes).ok()?;
    let Some(late) = (shared.behavior.second_answer_ms)() else { return Some(()) };
    let written_at = now_ms();
    // Looks for bytes until the end: a time limit of the socket would be rounded up by some ms on some machines.
    stream.set_nonblocking(true).ok()?;
    let is_quiet = loop {
        let is_quiet = stream.peek(&mut [0]).is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock);
        let left = written_at + late - now_ms();
        if !is_quiet || left <= 0.0 {
            break is_quiet;
        }
        sleep_ms(left.min(0.2));
    };
    stream.set_nonblocking(false).ok()?;
    if is_quiet {
        note(format!("{}: second answer for {id}, {:.1} ms after the first", shared.name, now_ms() - written_at));
        stream.write_all(bytes).ok()?;
    }
    Some(())
}

//! Small stand-ins on loopback: servers, the list, the platform, and clients; and the program itself as a
//! child.

use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Bounds every wait of a test; none rests on it being short.
pub const LONG: Duration = Duration::from_secs(20);

/// Waits until something holds.
pub fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < LONG, "{what}");
        thread::sleep(Duration::from_millis(2));
    }
}

/// Serves each connection on a thread of its own.
fn listen(serve: impl Fn(TcpStream, usize) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for (number, stream) in listener.incoming().flatten().enumerate() {
            let serve = serve.clone();
            thread::spawn(move || serve(stream, number));
        }
    });
    addr
}

pub fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    let mut out = vec![kind];
    out.extend((body.len() as u32 + 4).to_be_bytes());
    out.extend(body);
    out
}

pub fn row(value: &[u8]) -> Vec<u8> {
    let mut described = vec![0, 1];
    described.extend(b"doc\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01");
    let mut data = vec![0, 1];
    data.extend((value.len() as u32).to_be_bytes());
    data.extend(value);
    [message(b'T', &described), message(b'D', &data), message(b'C', b"SELECT 1\0")].concat()
}

pub fn error(code: &str) -> Vec<u8> {
    message(b'E', format!("SERROR\0C{code}\0Mno\0\0").as_bytes())
}

const READY: &[u8] = b"Z\0\0\0\x05I";
const OK: &[u8] = b"R\0\0\0\x08\0\0\0\0";

/// Reads one typed message; none at the end of the stream.
pub fn read_message(stream: &mut TcpStream) -> Option<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    stream.read_exact(&mut head).ok()?;
    let mut body = vec![0; u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize - 4];
    stream.read_exact(&mut body).ok()?;
    Some((head[0], body))
}

fn read_startup(stream: &mut TcpStream) -> Option<()> {
    let mut head = [0; 4];
    stream.read_exact(&mut head).ok()?;
    let mut rest = vec![0; u32::from_be_bytes(head) as usize - 4];
    stream.read_exact(&mut rest).ok()
}

/// What a server does with a query.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Does {
    /// Gives a row that holds the id of the query.
    Serves,
    ServesAfter(u64),
    /// An error with this code, and stays ready.
    Fails(&'static str),
    /// An error with this code, and ends.
    EndsWith(&'static str),
    /// An error with this code once in so many queries, else a row.
    FailsOneIn(usize, &'static str),
    Silent,
    /// Ends the connection once the query has come.
    Resets,
    /// Ends the connection once the query has come; from then on as [`Does::NeverUp`].
    ResetsForGood,
    /// Ends in the midst of the row.
    CutsShort,
    /// Answers what is no message.
    Babbles,
    /// Serves and writes the row once more, so many ms later, before anything else is asked.
    Twice(u64),
    /// Serves a value of so many bytes.
    Large(usize),
    /// A code that says that it never ran, in an error that cannot be read whole.
    GarblesCode,
    /// A row that never ends.
    Endless,
    /// Never stops telling parameters.
    Floods,
    /// Serves, with notices and parameters between.
    Chats,
    /// Accepts connections and says nothing until it is to do something else; those that are up are served.
    NeverUp,
    /// Serves and ends the connection just after.
    ServesOnce,
}

#[derive(Default)]
pub struct Seen {
    /// Connection and text of each query, in order.
    pub queries: Vec<(usize, String)>,
    pub connections: usize,
    /// Connections that have ended.
    pub ended: Vec<usize>,
    pub open: Vec<TcpStream>,
}

#[derive(Clone)]
pub struct Server {
    pub addr: SocketAddr,
    pub does: Arc<Mutex<Does>>,
    pub seen: Arc<Mutex<Seen>>,
}

impl Server {
    pub fn start(does: Does) -> Self {
        let (does, seen) = (Arc::new(Mutex::new(does)), Arc::new(Mutex::new(Seen::default())));
        let (doing, saw) = (does.clone(), seen.clone());
        let addr = listen(move |mut stream, number| {
            let mut seen = saw.lock().unwrap();
            seen.connections += 1;
            seen.open.push(stream.try_clone().unwrap());
            drop(seen);
            Self::serve(&mut stream, number, &doing, &saw);
            saw.lock().unwrap().ended.push(number);
        });
        Server { addr, does, seen }
    }

    fn serve(stream: &mut TcpStream, number: usize, does: &Mutex<Does>, seen: &Mutex<Seen>) -> Option<()> {
        read_startup(stream)?;
        stream.set_read_timeout(Some(Duration::from_millis(2))).ok()?;
        while *does.lock().unwrap() == Does::NeverUp {
            if stream.peek(&mut [0]).is_ok() {
                return None;
            }
        }
        stream.set_read_timeout(None).ok()?;
        stream.write_all(&[OK, READY].concat()).ok()?;
        while let Some((kind, body)) = read_message(stream) {
            assert_eq!(kind, b'Q');
            let text = String::from_utf8(body[..body.len() - 1].to_vec()).unwrap();
            let id = text.split("id=").nth(1).map_or("", |rest| rest.split([',', ' ']).next().unwrap());
            let good = [&row(id.as_bytes()), READY].concat();
            seen.lock().unwrap().queries.push((number, text.clone()));
            let does = {
                let mut does = does.lock().unwrap();
                let never_up = if *does == Does::ResetsForGood { Does::NeverUp } else { *does };
                std::mem::replace(&mut *does, never_up)
            };
            let answer = match does {
                Does::Floods => {
                    let many = message(b'S', b"a\0b\0").repeat(10_000);
                    while stream.write_all(&many).is_ok() {}
                    return None;
                }
                Does::Serves | Does::ServesOnce | Does::NeverUp => good,
                Does::ServesAfter(ms) => {
                    thread::sleep(Duration::from_millis(ms));
                    good
                }
                Does::Twice(pause) => {
                    let copy = row(id.as_bytes());
                    match pause {
                        0 => [good, copy].concat(),
                        _ => {
                            stream.write_all(&good).ok()?;
                            thread::sleep(Duration::from_millis(pause));
                            copy
                        }
                    }
                }
                Does::Large(bytes) => [&row(&vec![b'v'; bytes]), READY].concat(),
                Does::GarblesCode => [&message(b'E', b"SERROR\0C53300\0\xff\xfe"), READY].concat(),
                Does::Fails(code) => [&error(code), READY].concat(),
                Does::FailsOneIn(share, code) => {
                    let asked = seen.lock().unwrap().queries.len();
                    if asked.is_multiple_of(share.max(1)) { [&error(code), READY].concat() } else { good }
                }
                Does::EndsWith(code) => error(code),
                Does::Silent => continue,
                Does::Resets | Does::ResetsForGood => Vec::new(),
                Does::CutsShort => good[..good.len() / 2].to_vec(),
                Does::Babbles => b"HTTP/1.1 400 Bad Request\r\n\r\n".to_vec(),
                Does::Endless => [message(b'T', b"\0\x01")[..5].to_vec(), vec![0x7f; 1 << 20]].concat(),
                Does::Chats => [
                    message(b'N', b"SNOTICE\0C00000\0Mhm\0\0"),
                    message(b'S', b"load\0inflight=7,util=0.61\0"),
                    good,
                    message(b'S', b"a\0b\0"),
                ]
                .concat(),
            };
            stream.write_all(&answer).ok()?;
            let ends = [Does::Resets, Does::ResetsForGood, Does::CutsShort, Does::ServesOnce].contains(&does);
            if ends || matches!(does, Does::EndsWith(_)) {
                return stream.shutdown(Shutdown::Both).ok();
            }
        }
        None
    }

    pub fn set(&self, does: Does) {
        *self.does.lock().unwrap() = does;
    }

    /// Ends all connections from this side.
    pub fn end_all(&self) {
        self.seen.lock().unwrap().open.drain(..).for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
    }

    pub fn queries(&self) -> Vec<(usize, String)> {
        self.seen.lock().unwrap().queries.clone()
    }
}

/// Reads the head of a call and its body.
fn read_call(stream: &mut TcpStream) -> Option<(String, String)> {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).unwrap();
    let length = head
        .split("Content-Length: ")
        .nth(1)
        .map_or(0, |rest| rest.split('\r').next().unwrap().parse().unwrap());
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some((head.lines().next().unwrap().to_string(), String::from_utf8(body).unwrap()))
}

pub const STREAM: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

pub fn answer(status: u16, body: &str) -> String {
    format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// What a stand-in over HTTP does with one call.
#[derive(Clone, Debug)]
pub enum Says {
    /// These bytes; the connection stays.
    Bytes(String),
    /// These bytes, and the end.
    Last(String),
    Nothing,
}

type Reply = Box<dyn Fn(&str) -> Says + Send>;

/// A service over HTTP: calls are noted, answers are as set, and open streams can be written to.
#[derive(Clone)]
pub struct Service {
    pub addr: SocketAddr,
    pub calls: Arc<Mutex<Vec<(String, String)>>>,
    pub says: Arc<Mutex<Reply>>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    begun: Arc<AtomicU32>,
}

impl Service {
    pub fn start(says: impl Fn(&str) -> Says + Send + 'static) -> Self {
        let says: Arc<Mutex<Reply>> = Arc::new(Mutex::new(Box::new(says)));
        let (calls, streams) = (Arc::new(Mutex::new(Vec::new())), Arc::new(Mutex::new(Vec::new())));
        let (said, noted, kept) = (says.clone(), calls.clone(), streams.clone());
        let begun = Arc::new(AtomicU32::new(0));
        let counted = begun.clone();
        let addr = listen(move |mut stream, _| {
            while let Some((line, body)) = read_call(&mut stream) {
                counted.fetch_add(1, SeqCst);
                // Held from the answer to the stream's place among those that are told: a change made in
                // between would be neither in the answer nor told.
                let mut streams = kept.lock().unwrap();
                let says = said.lock().unwrap()(&line);
                let text = if let Says::Bytes(text) | Says::Last(text) = &says { text.as_str() } else { "" };
                if stream.write_all(text.as_bytes()).is_err() {
                    return;
                }
                if text.starts_with(STREAM) {
                    streams.push(stream.try_clone().unwrap());
                }
                drop(streams);
                noted.lock().unwrap().push((line, body));
                if matches!(says, Says::Last(_)) {
                    let _ = stream.shutdown(Shutdown::Both);
                    return;
                }
            }
        });
        Service { addr, calls, says, streams, begun }
    }

    /// Calls that have come, answered or not.
    pub fn begun(&self) -> u32 {
        self.begun.load(SeqCst)
    }

    pub fn set(&self, says: impl Fn(&str) -> Says + Send + 'static) {
        *self.says.lock().unwrap() = Box::new(says);
    }

    /// Writes to all open streams.
    pub fn write(&self, text: &str) {
        self.write_made(|| text.to_string());
    }

    /// Writes one line to all open streams.
    pub fn tell(&self, line: &Value) {
        self.tell_made(|| line.clone());
    }

    /// Writes one line to all open streams, made while none can begin: a stream that begins later is answered
    /// from the state that the line tells of.
    pub fn tell_made(&self, line: impl FnOnce() -> Value) {
        self.write_made(|| chunk(&format!("{}\n", line())));
    }

    fn write_made(&self, text: impl FnOnce() -> String) {
        let mut streams = self.streams.lock().unwrap();
        let text = text();
        streams.retain_mut(|stream| stream.write_all(text.as_bytes()).is_ok());
    }

    /// True where the gateway has ended all streams.
    pub fn let_go(&self) -> bool {
        let mut streams = self.streams.lock().unwrap();
        streams.iter_mut().all(|stream| {
            stream.set_read_timeout(Some(Duration::from_millis(2))).unwrap();
            matches!(stream.peek(&mut [0]), Ok(0))
        })
    }

    pub fn end_streams(&self) {
        self.streams.lock().unwrap().drain(..).for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
    }

    pub fn count(&self, part: &str) -> usize {
        self.calls.lock().unwrap().iter().filter(|(line, _)| line.contains(part)).count()
    }
}

/// One entry of the list.
pub fn host(id: &str, addr: SocketAddr, health: &str, build: u32) -> Value {
    json!({"host": id, "dial": addr.to_string(), "site": "a", "class": "m", "block": 1, "health": health,
        "share": 1.0, "born_ms": 0, "release": build})
}

pub fn list(version: u64, whole: bool, hosts: &[Value]) -> Value {
    json!({"seq": version, "whole": whole, "hosts": hosts})
}

pub fn state(build: u32, step: u32, status: &str, cap: f64) -> Value {
    json!({"version": build, "step": step, "status": status, "maxWeight": cap, "observedAgoMs": 10})
}

/// A platform that tells this state, and answers votes as given.
pub fn feed(news: Value, votes: impl Fn(&str) -> Says + Send + 'static) -> Service {
    let line = json!({"type": "ROLLOUT", "object": news}).to_string() + "\n";
    Service::start(move |call| match call.contains("ballots") {
        true => votes(call),
        false => Says::Bytes(format!("{STREAM}{}", chunk(&line))),
    })
}

/// A configuration that any story may change before the start.
pub fn config(hosts: &[Value], discovery: SocketAddr, platform: SocketAddr) -> Value {
    let class = |name: &str, effect: &str| {
        json!({"name": name, "aim-s": 0.6, "hard-limit-s": 2.0, "effect": effect, "group": "all",
            "dedup-window-s": 3.0, "gain": 1.0})
    };
    let domain = json!({"allowance": 2.0, "caps": [0.1, 1.0], "window-s": 2.0, "counts": "all",
        "vote-mode": "single", "votes-to-go": 1, "votes-to-revert": 1, "vote-ttl-s": 4.0, "soak-s": 1.0,
        "api-timeout-s": 0.5, "style": "rolling"});
    let permissions = json!({"cancelling": true, "second-copies": false, "try-limit": 3, "conn-idle-s": 10.0,
        "dial-timeout-s": 0.25});
    let rules = json!({"ask-within-s": 1.0, "drain-grace-s": 1.0, "cold-from": 0.5, "warm-up-s": 1.0,
        "tip-multiple": 3.0, "fall-s": 1.0});
    let classes = [class("look", "idempotent"), class("book", "deduplicated"), class("pay", "at_most_once")];
    let settings = json!({"classes": classes, "domain": domain, "me": 0, "replicas-of-me": 1,
        "registry-mode": "subscribe", "permissions": permissions, "rules": rules});
    json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "8c1f30d27a5b",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
        "pipeline": {"address": platform.to_string(), "news": state(1, 0, "COMPLETE", 1.0)},
        "known": list(5, true, hosts), "settings": settings})
}

/// The gateway's program, and what it speaks with.
pub struct Gateway {
    child: Child,
    /// Its configuration, and the file that holds it.
    pub config: Value,
    pub path: String,
    /// While held, nothing that it logs is read.
    pub unread: Arc<AtomicBool>,
    pub addr: SocketAddr,
    log: Log,
    pub list: Service,
    pub platform: Service,
}

/// The program beside this one: tests lie in a folder below it, other binaries next to it.
///
/// # Panics
/// Where none has been built.
pub fn program() -> PathBuf {
    let here = std::env::current_exe().expect("a path of its own");
    let found = here.ancestors().skip(1).take(2).map(|folder| folder.join("latchhaven"));
    found.into_iter().find(|path| path.is_file()).expect("the program latchhaven is built first")
}

static STARTED: AtomicU32 = AtomicU32::new(0);

/// Starts the program with a configuration; what it logs can be read as it comes.
pub fn spawn(config: &str) -> (Child, Log, Arc<AtomicBool>, String) {
    let number = STARTED.fetch_add(1, SeqCst);
    let folder = std::env::temp_dir();
    let path = format!("{}/latchhaven-{}-{number}.json", folder.display(), std::process::id());
    std::fs::write(&path, config).unwrap();
    // Both streams go to one pipe, as where they are one log.
    let mut command = Command::new("/bin/sh");
    command.args(["-c", "exec \"$0\" 1>&2"]).arg(program());
    command.env_clear().env("BALANCER_CONFIG", &path);
    // As where the machine gives what the file says as well.
    if let Some(at) =
        serde_json::from_str(config).ok().as_ref().and_then(|whole: &Value| whole["discovery"].as_str())
    {
        command.env("BALANCER_DISCOVERY", at);
    }
    let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
    let (log, unread) = logged(&mut child);
    (child, log, unread, path)
}

/// Lines as a child has logged them so far.
pub type Log = Arc<Mutex<Vec<String>>>;

/// Reads what a child logs, and holds that while the flag is set.
pub fn logged(child: &mut Child) -> (Log, Arc<AtomicBool>) {
    let (log, lines) =
        (Arc::new(Mutex::new(Vec::new())), BufReader::new(child.stderr.take().unwrap()).lines());
    let (filled, unread) = (log.clone(), Arc::new(AtomicBool::new(false)));
    let held = unread.clone();
    thread::spawn(move || {
        for line in lines.map_while(Result::ok) {
            filled.lock().unwrap().push(line);
            while held.load(SeqCst) {
                thread::sleep(Duration::from_millis(2));
            }
        }
    });
    (log, unread)
}

/// Where a child says that it listens, once it does.
pub fn listening(log: &Log) -> SocketAddr {
    let mut addr = None;
    until("the program listens", || {
        let log = log.lock().unwrap();
        let told =
            log.iter().find_map(|line| line.split("listening=").nth(1)?.split(' ').next()?.parse().ok());
        addr = told;
        told.is_some()
    });
    addr.expect("told")
}

impl Gateway {
    pub fn start(servers: &[&Server]) -> Self {
        Self::start_with(servers, |_| ())
    }

    pub fn start_with(servers: &[&Server], change: impl FnOnce(&mut Value)) -> Self {
        Self::start_among(servers, feed(state(1, 0, "COMPLETE", 1.0), |_| Says::Nothing), change)
    }

    pub fn start_among(servers: &[&Server], platform: Service, change: impl FnOnce(&mut Value)) -> Self {
        let list = Service::start(|_| Says::Bytes(format!("{STREAM}{}", chunk("\n"))));
        let hosts = servers.iter().enumerate();
        let hosts: Vec<Value> =
            hosts.map(|(n, server)| host(&format!("s{n}"), server.addr, "up", 1)).collect();
        let mut config = config(&hosts, list.addr, platform.addr);
        change(&mut config);
        let (child, log, unread, path) = spawn(&config.to_string());
        let addr = listening(&log);
        Gateway { child, config, path, unread, addr, log, list, platform }
    }

    /// As [`Self::start_with`], once the list is watched.
    pub fn watching(servers: &[&Server], change: impl FnOnce(&mut Value)) -> Self {
        let gateway = Self::start_with(servers, change);
        until("the list is watched", || gateway.list.count("GET /v1/servers?watch=1&after=5 ") == 1);
        gateway
    }

    pub fn client(&self) -> Client {
        let mut client = Client::connect(self.addr);
        client.send(&startup());
        assert_eq!(client.answer().last().map(|(kind, _)| *kind), Some(b'Z'));
        client
    }

    pub fn logs(&self, part: &str) -> usize {
        self.log.lock().unwrap().iter().filter(|line| line.contains(part)).count()
    }

    pub fn logged(&self, part: &str) -> bool {
        self.logs(part) > 0
    }

    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill").args([&format!("-{name}"), &self.child.id().to_string()]).status();
        assert!(sent.unwrap().success());
    }

    /// Replaces the file of the configuration, and says so.
    pub fn reconfigure(&self, text: &str) {
        std::fs::write(&self.path, text).unwrap();
        self.signal("HUP");
    }

    /// A counter, as printed now.
    pub fn counter(&self, name: &str) -> u64 {
        let printed = |log: &[String]| log.iter().filter(|line| line.contains("counters:")).count();
        let before = printed(&self.log.lock().unwrap());
        self.signal("USR1");
        until("the counters are printed", || printed(&self.log.lock().unwrap()) > before);
        let log = self.log.lock().unwrap();
        let line = log.iter().rfind(|line| line.contains("counters:")).unwrap();
        let figure = line.split(&format!(" {name}=")).nth(1).unwrap_or_else(|| panic!("{name} in {line}"));
        figure.split(' ').next().unwrap().parse().unwrap()
    }

    /// Waits for the end; the exit code.
    pub fn ended(&mut self) -> Option<i32> {
        let mut code = None;
        until("the gateway ends", || {
            code = self.child.try_wait().unwrap();
            code.is_some()
        });
        code.unwrap().code()
    }

    pub fn alive(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub fn startup() -> Vec<u8> {
    let names = b"user\0app\0database\0shop\0\0";
    [&(names.len() as u32 + 8).to_be_bytes()[..], &(3u32 << 16).to_be_bytes(), names].concat()
}

pub fn select(id: &str, product: &str, wait: u32) -> String {
    format!("SELECT doc FROM items WHERE id = '7f3a' /* id={id},c={product},t=acme,d={wait} */")
}

pub fn query(text: &str) -> Vec<u8> {
    message(b'Q', &[text.as_bytes(), b"\0"].concat())
}

pub type Answer = Vec<(u8, Vec<u8>)>;

pub struct Client(pub TcpStream);

impl Client {
    pub fn connect(addr: SocketAddr) -> Self {
        let stream = TcpStream::connect(addr).unwrap();
        stream.set_read_timeout(Some(LONG)).unwrap();
        stream.set_nodelay(true).unwrap();
        Client(stream)
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.0.write_all(bytes).unwrap();
    }

    /// All messages up to ReadyForQuery, or to the end of the connection.
    pub fn answer(&mut self) -> Answer {
        let mut messages = Vec::new();
        while let Some(message) = read_message(&mut self.0) {
            messages.push(message);
            if messages.last().unwrap().0 == b'Z' {
                break;
            }
        }
        messages
    }

    pub fn ask(&mut self, text: &str) -> Answer {
        self.send(&query(text));
        self.answer()
    }
}

/// The value of an answer, or its code.
pub fn outcome(answer: &Answer) -> Result<String, String> {
    let found = answer.iter().find_map(|(kind, body)| match kind {
        b'D' => Some(Ok(String::from_utf8(body[6..].to_vec()).unwrap())),
        b'E' => {
            let code = body.split(|byte| *byte == 0).find(|field| field.first() == Some(&b'C')).unwrap();
            Some(Err(String::from_utf8(code[1..].to_vec()).unwrap()))
        }
        _ => None,
    });
    found.unwrap_or_else(|| Err(format!("neither row nor error in {answer:?}")))
}

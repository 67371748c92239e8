//! What the cases share: the record, the JSON of a small deployment, a discovery service, a platform, a link with the
//! delay of a network, an instance, clients, and the gateway as a child process. Standard library only.

use std::fs::File;
use std::io::{self, BufRead, BufReader, BufWriter, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex, mpsc};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

unsafe extern "C" {
    fn prctl(option: i32, argument: u64) -> i32;
}
const SIGKILL: u64 = 9;
const PR_SET_PDEATHSIG: i32 = 1;

pub fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Returns `false` for `TROUBLE=0`: the case then runs without its disruption.
pub fn is_troubled() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// `record.txt`: one line an event, with the milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<BufWriter<File>>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("record.txt can be written");
        Record { file: Arc::new(Mutex::new(BufWriter::new(file))), start: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64() * 1000.0;
        let _ = writeln!(self.file.lock().unwrap(), "{at:10.2} {text}");
    }

    /// Writes the line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
        let _ = self.file.lock().unwrap().flush();
    }
}

/// Numbers that differ from run to run; for ids and pauses.
pub struct Random(u64);

impl Random {
    pub fn new(salt: u64) -> Self {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as u64;
        Random(now ^ salt.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0.wrapping_mul(0x2545_f491_4f6c_dd1d)
    }

    pub fn id(&mut self) -> String {
        format!("{:016x}", self.next())
    }

    pub fn below(&mut self, limit: u64) -> u64 {
        (self.next() >> 11) % limit
    }
}

/// Listens on a free loopback port and runs `serve` for each connection on a thread of its own.
pub fn listen(serve: impl Fn(TcpStream, u64) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for (number, stream) in listener.incoming().flatten().enumerate() {
            let _ = stream.set_nodelay(true);
            let serve = serve.clone();
            thread::spawn(move || serve(stream, number as u64));
        }
    });
    address
}

// PostgreSQL's protocol.

pub const READY: &[u8] = b"Z\0\0\0\x05I";

pub fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    let mut encoded = vec![kind];
    encoded.extend((body.len() as u32 + 4).to_be_bytes());
    encoded.extend(body);
    encoded
}

/// `RowDescription`, `DataRow` and `CommandComplete` of one binary value.
pub fn row(value: &[u8], tag: &str) -> Vec<u8> {
    let mut description = vec![0, 1];
    description.extend(b"doc\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01");
    let mut data = vec![0, 1];
    data.extend((value.len() as u32).to_be_bytes());
    data.extend(value);
    [message(b'T', &description), message(b'D', &data), message(b'C', format!("{tag}\0").as_bytes())].concat()
}

pub fn startup() -> Vec<u8> {
    let body = b"\0\x03\0\0user\0app\0database\0shop\0\0";
    [&(body.len() as u32 + 4).to_be_bytes()[..], body].concat()
}

pub fn query(text: &str) -> Vec<u8> {
    message(b'Q', &[text.as_bytes(), b"\0"].concat())
}

pub fn select(item: &str, fields: &str) -> String {
    format!("SELECT doc FROM items WHERE id = '{item}' /* {fields} */")
}

pub fn insert(item: &str, hex: &str, fields: &str) -> String {
    format!("INSERT INTO items (id, doc) VALUES ('{item}', '\\x{hex}') RETURNING doc /* {fields} */")
}

pub fn read_message(stream: &mut impl Read) -> io::Result<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    stream.read_exact(&mut head)?;
    let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    let mut body = vec![0; length.saturating_sub(4)];
    stream.read_exact(&mut body)?;
    Ok((head[0], body))
}

/// The value of a name in the comment of a statement.
pub fn field(text: &str, name: &str) -> Option<String> {
    let comment = text.split("/* ").nth(1)?.strip_suffix(" */")?;
    comment.split(',').find_map(|entry| entry.strip_prefix(name)?.strip_prefix('=').map(str::to_string))
}

/// Reads the startup message of a client and welcomes it, as an instance does.
pub fn welcome(stream: &mut TcpStream) -> io::Result<()> {
    let mut length = [0; 4];
    stream.read_exact(&mut length)?;
    let mut body = vec![0; (u32::from_be_bytes(length) as usize).saturating_sub(4).min(10_000)];
    stream.read_exact(&mut body)?;
    stream.write_all(&[b"R\0\0\0\x08\0\0\0\0", READY].concat())
}

/// The answer to a request, as its client sees it.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Value(Vec<u8>),
    Error(String),
    /// The connection ended, or nothing came in time.
    None(String),
}

/// A client's connection to a gateway.
pub struct Client {
    stream: TcpStream,
}

impl Client {
    pub fn connect(gateway: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&gateway, ms(2000))?;
        stream.set_nodelay(true)?;
        let mut client = Client { stream };
        client.stream.write_all(&startup())?;
        client.stream.set_read_timeout(Some(ms(8000)))?;
        while read_message(&mut client.stream)?.0 != b'Z' {}
        Ok(client)
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads one answer up to `ReadyForQuery` or a fatal error, for at most `wait`.
    pub fn read_answer(&mut self, wait: Duration) -> Answer {
        let until = Instant::now() + wait;
        let mut answer = None;
        loop {
            let left = until.saturating_duration_since(Instant::now()).max(ms(1));
            let _ = self.stream.set_read_timeout(Some(left));
            match read_message(&mut self.stream) {
                Ok((b'D', body)) if body.len() >= 6 => answer = Some(Answer::Value(body[6..].to_vec())),
                Ok((b'E', body)) => {
                    let fields = body.split(|byte| *byte == 0).map(|part| String::from_utf8_lossy(part).to_string());
                    let fields: Vec<String> = fields.collect();
                    let code = fields.iter().find_map(|text| text.strip_prefix('C')).unwrap_or("?").to_string();
                    if fields.iter().any(|text| text == "SFATAL") {
                        return Answer::Error(code);
                    }
                    answer = Some(Answer::Error(code));
                }
                Ok((b'Z', _)) => return answer.unwrap_or(Answer::None("ready without an answer".to_string())),
                Ok(_) => {}
                Err(error) => return answer.unwrap_or(Answer::None(error.kind().to_string())),
            }
        }
    }

    /// Sends an empty query, and returns `true` if it is answered within `wait`: the readiness probe of the front.
    pub fn is_ready(&mut self, wait: Duration) -> bool {
        let _ = self.stream.set_read_timeout(Some(wait));
        self.send(&query("")).is_ok() && read_message(&mut self.stream).is_ok_and(|(kind, _)| kind == b'I')
    }
}

// Discovery and the platform.

/// One instance in discovery's form.
pub fn host(name: &str, address: SocketAddr, site: &str) -> String {
    format!(
        "{{\"host\":\"{name}\",\"dial\":\"{address}\",\"site\":\"{site}\",\"class\":\"std-3c\",\"block\":1,\
         \"health\":\"up\",\"share\":1.0,\"born_ms\":0,\"release\":41}}"
    )
}

pub fn list(seq: u64, is_whole: bool, hosts: &[String]) -> String {
    format!("{{\"seq\":{seq},\"whole\":{is_whole},\"hosts\":[{}]}}", hosts.join(","))
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, usize)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let lower = line.trim().to_ascii_lowercase();
        if lower.is_empty() {
            return Some((first.trim().to_string(), length));
        }
        if let Some(value) = lower.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
    }
}

fn write_chunk(stream: &mut TcpStream, line: &str) -> io::Result<()> {
    let body = format!("{line}\n");
    stream.write_all(format!("{:x}\r\n{body}\r\n", body.len()).as_bytes())
}

const STREAM_HEAD: &[u8] =
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";

fn respond(stream: &mut TcpStream, status: &str, body: &str) -> io::Result<()> {
    let length = body.len();
    let head = format!("HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n");
    stream.write_all(format!("{head}{body}").as_bytes())
}

/// A discovery service whose list does not change.
pub fn start_discovery(hosts: Vec<String>) -> SocketAddr {
    listen(move |mut stream, _| {
        let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
        while let Some((line, _)) = read_head(&mut reader) {
            if !line.contains("watch=1") {
                if respond(&mut stream, "200 OK", &list(41, true, &hosts)).is_err() {
                    return;
                }
                continue;
            }
            let is_current = line.contains("after=41 ");
            let first = if is_current { String::new() } else { list(41, true, &hosts) };
            if stream.write_all(STREAM_HEAD).is_err() || write_chunk(&mut stream, &first).is_err() {
                return;
            }
            loop {
                thread::sleep(ms(2000));
                if write_chunk(&mut stream, "").is_err() {
                    return;
                }
            }
        }
    })
}

/// A platform whose newest build, 41, is released.
pub fn start_platform() -> SocketAddr {
    let state = "{\"version\":41,\"step\":3,\"status\":\"COMPLETE\",\"maxWeight\":1.0,\"observedAgoMs\":60000}";
    listen(move |mut stream, _| {
        let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
        while let Some((line, length)) = read_head(&mut reader) {
            if line.starts_with("POST") {
                let mut body = vec![0; length];
                let is_read = reader.read_exact(&mut body).is_ok();
                if !is_read || respond(&mut stream, "409 Conflict", "{\"error\":\"STALE\"}").is_err() {
                    return;
                }
                continue;
            }
            let first = format!("{{\"type\":\"ROLLOUT\",\"object\":{state}}}");
            if stream.write_all(STREAM_HEAD).is_err() || write_chunk(&mut stream, &first).is_err() {
                return;
            }
            loop {
                thread::sleep(ms(1000));
                if write_chunk(&mut stream, "{}").is_err() {
                    return;
                }
            }
        }
    })
}

// The network.

/// A link to `target` that carries bytes in both directions with this one-way delay, in order. Returns its address.
pub fn start_link(target: SocketAddr, one_way: Duration) -> SocketAddr {
    listen(move |near, _| {
        let Ok(far) = TcpStream::connect(target) else { return };
        let _ = far.set_nodelay(true);
        let (Ok(near_in), Ok(far_in)) = (near.try_clone(), far.try_clone()) else { return };
        carry(near_in, far, one_way);
        carry(far_in, near, one_way);
    })
}

fn carry(mut from: TcpStream, mut to: TcpStream, one_way: Duration) {
    let (sender, receiver) = mpsc::channel::<(Instant, Vec<u8>)>();
    thread::spawn(move || {
        let mut buffer = vec![0; 64 * 1024];
        loop {
            let count = from.read(&mut buffer).unwrap_or(0);
            if sender.send((Instant::now() + one_way, buffer[..count].to_vec())).is_err() || count == 0 {
                return;
            }
        }
    });
    thread::spawn(move || {
        while let Ok((due, bytes)) = receiver.recv() {
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if bytes.is_empty() || to.write_all(&bytes).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Both);
    });
}

// The gateway.

/// The configuration of a gateway of a small deployment: classes, rules and limits as a site may set them.
pub fn configuration(listen: SocketAddr, discovery: SocketAddr, platform: SocketAddr, hosts: &[String]) -> String {
    let class = |name: &str, aim: f64, limit: f64, effect: &str| {
        format!(
            "{{\"name\":\"{name}\",\"aim-s\":{aim},\"hard-limit-s\":{limit},\"effect\":\"{effect}\",\
             \"group\":\"all\",\"dedup-window-s\":3.0,\"gain\":1.0,\"late-share\":0.0,\"stream\":false}}"
        )
    };
    let classes = [
        class("look", 0.75, 3.0, "idempotent"),
        class("book", 0.6, 1.5, "deduplicated"),
        class("pay", 1.5, 4.0, "at_most_once"),
    ];
    let known = list(41, true, hosts);
    let classes = classes.join(",");
    format!(
        "{{\"name\":\"n0\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",\"seed\":\"8c1f30d27a5be964\",\
         \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\
         \"pipeline\":{{\"address\":\"{platform}\",\"news\":{{\"version\":41,\"step\":3,\"status\":\"COMPLETE\",\
         \"maxWeight\":1.0,\"observedAgoMs\":60000}}}},\"known\":{known},\
         \"settings\":{{\"classes\":[{classes}],\
         \"domain\":{{\"allowance\":1.0,\"caps\":[0.036,0.144,0.48,1.0],\"window-s\":2.0,\"counts\":\"all\",\
         \"vote-mode\":\"single\",\"votes-to-go\":1,\"votes-to-revert\":1,\"vote-ttl-s\":6.0,\"soak-s\":2.0,\
         \"api-timeout-s\":1.2,\"style\":\"rolling\"}},\
         \"me\":0,\"replicas-of-me\":3,\"locality\":\"welshpool\",\"azs\":[\"malaga\",\"welshpool\"],\
         \"registry-mode\":\"subscribe\",\
         \"permissions\":{{\"cancelling\":true,\"second-copies\":true,\"try-limit\":3,\"conn-idle-s\":30.0,\
         \"dial-timeout-s\":0.25}},\
         \"rules\":{{\"ask-within-s\":10.0,\"drain-grace-s\":2.0,\"cold-from\":0.41,\"warm-up-s\":4.9,\
         \"tip-multiple\":3.0,\"fall-s\":1.5}}}}}}"
    )
}

pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a free port")
}

/// The command `run` of the deploy file.
fn run_command() -> String {
    let file = std::fs::read_to_string("deploy/balancer.toml").expect("started from the repository's root");
    let line = file.lines().find_map(|line| line.strip_prefix("run = \"")).expect("the deploy file has `run`");
    line.split('"').next().unwrap_or_default().to_string()
}

static STARTED: AtomicU64 = AtomicU64::new(0);

/// A gateway process. It is killed when this value is dropped, or when the case ends in another way.
pub struct Gateway {
    child: Child,
}

impl Gateway {
    /// Starts a gateway with `run` of the deploy file, and waits until it answers the front's readiness probe.
    pub fn start(config: &str, address: SocketAddr, discovery: SocketAddr) -> Self {
        let folder = PathBuf::from(std::env::var("CASE_FOLDER").expect("run.sh sets CASE_FOLDER"));
        let number = STARTED.fetch_add(1, SeqCst);
        let config_path = folder.join(format!("gateway-{number}.json"));
        let log_path = folder.join(format!("gateway-{number}.log"));
        std::fs::write(&config_path, config).expect("the temporary folder can be written");
        let log = File::create(&log_path).expect("the temporary folder can be written");
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(run_command()).stdin(Stdio::null());
        command.stdout(log.try_clone().expect("a second handle")).stderr(log);
        command.env_clear().env("PATH", "/usr/bin:/bin").env("TMPDIR", &folder);
        command.env("BALANCER_NAME", "n0").env("BALANCER_LISTEN", address.to_string());
        command.env("BALANCER_DISCOVERY", discovery.to_string()).env("BALANCER_CONFIG", &config_path);
        command.env("LATCHHAVEN_LOG", std::env::var("GATEWAY_LOG").unwrap_or("info".to_string()));
        // The gateway ends with the case, whatever ends the case.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let child = command.spawn().expect("the gateway can be started");
        let gateway = Gateway { child };
        let until = Instant::now() + ms(15_000);
        while Instant::now() < until {
            if Client::connect(address).is_ok_and(|mut client| client.is_ready(ms(6000))) {
                return gateway;
            }
            thread::sleep(ms(20));
        }
        could_not_run("the gateway is not ready");
    }

    pub fn is_alive(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Ends the case with the code for a case that could not run.
pub fn could_not_run(reason: &str) -> ! {
    println!("could not run: {reason}");
    std::process::exit(2);
}

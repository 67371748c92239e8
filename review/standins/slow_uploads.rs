//! Bad clients stop in the middle of a large request and stay. Ordinary clients send requests whose value has 10 KiB.

use crate::common::{
    Answer, Client, Gateway, Random, Record, READY, configuration, could_not_run, field, free_address, host, insert,
    is_troubled, listen, ms, query, read_message, row, select, start_discovery, start_platform, welcome,
};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::thread;
use std::time::{Duration, Instant};

const HOSTS: usize = 3;
/// Clients that stop in the middle of a request. One that is turned away comes again at once.
const STUCK_CLIENTS: u64 = 80;
/// What a stuck client has sent of its request when it stops.
const STUCK_AFTER_BYTES: usize = 20 * 1024;
/// Bytes of an ordinary client's value: a page allows 64 KiB.
const VALUE_BYTES: usize = 10 * 1024;
const LARGE_CLIENTS: u64 = 6;
const SMALL_CLIENTS: u64 = 6;
const PAUSE_MS: u64 = 400;
/// The time of an ordinary client's request, 40% of its product's expiry of 1.5 s.
const TIME_MS: u64 = 600;
/// Half a second after its time a request that has no final answer is lost; time limits on sockets are 50 ms longer.
const LOST_AFTER_MS: u64 = TIME_MS + 500 + 50;
const WORK: Duration = Duration::from_millis(8);
const PLAY: Duration = Duration::from_secs(20);

fn serve(mut stream: TcpStream, name: &str, record: &Record) -> std::io::Result<()> {
    welcome(&mut stream)?;
    loop {
        let (kind, body) = read_message(&mut stream)?;
        if kind != b'Q' {
            return Ok(());
        }
        let text = String::from_utf8_lossy(&body[..body.len() - 1]).to_string();
        let Some(id) = field(&text, "id") else { return Ok(()) };
        record.line(&format!("{name} runs {id}"));
        thread::sleep(WORK);
        let tag = if text.starts_with("INSERT") { "INSERT 0 1" } else { "SELECT 1" };
        stream.write_all(&[&row(format!("{name}/{id}").as_bytes(), tag)[..], READY].concat())?;
    }
}

/// The request of a client with a value of this many bytes.
fn upload(random: &mut Random, value_bytes: usize) -> (String, Vec<u8>) {
    let (id, key) = (random.id(), random.id());
    let fields = format!("id={id},c=book,d={TIME_MS},k={key}");
    (id, query(&insert("basket", &"5a".repeat(value_bytes), &fields)))
}

/// Sends the first part of a request, and stays until the gateway sends an error or closes.
fn play_stuck_client(gateway: SocketAddr, number: u64, record: &Record, is_over: &AtomicBool) {
    let mut random = Random::new(1000 + number);
    thread::sleep(ms(random.below(2000)));
    while !is_over.load(SeqCst) {
        let Ok(mut client) = Client::connect(gateway) else {
            thread::sleep(ms(20));
            continue;
        };
        let (_, request) = upload(&mut random, 64 * 1024);
        if client.send(&request[..STUCK_AFTER_BYTES]).is_err() {
            continue;
        }
        let began = Instant::now();
        let answer = client.read_answer(ms(4000));
        record.line(&format!("b{number} stopped in a request, after {} ms: {answer:?}", began.elapsed().as_millis()));
    }
}

#[derive(Default)]
struct Counts {
    served: AtomicU64,
    unserved: AtomicU64,
    lost: AtomicU64,
}

/// Sends requests one after another. Waits for each answer far beyond the request's time, so that a late one is seen.
fn play_client(
    gateway: SocketAddr, name: &str, is_large: bool, record: &Record, counts: &Counts, is_over: &AtomicBool,
) {
    let mut random = Random::new(name.bytes().map(u64::from).sum());
    let mut connection = None;
    while !is_over.load(SeqCst) {
        thread::sleep(ms(random.below(PAUSE_MS)));
        let mut client = match connection.take().map_or_else(|| Client::connect(gateway), Ok) {
            Ok(client) => client,
            Err(error) => {
                record.line(&format!("{name} does not connect: {}", error.kind()));
                continue;
            }
        };
        let (id, request) = if is_large {
            upload(&mut random, VALUE_BYTES)
        } else {
            let id = random.id();
            let text = select("basket", &format!("id={id},c=look,d={TIME_MS}"));
            (id, query(&text))
        };
        let answer = match client.send(&request) {
            Ok(()) => {
                let written_at = Instant::now();
                record.line(&format!("{name} has written {id}, {} bytes", request.len()));
                let answer = client.read_answer(ms(5000));
                let waited = written_at.elapsed().as_millis() as u64;
                let is_lost = waited > LOST_AFTER_MS;
                if is_lost {
                    counts.lost.fetch_add(1, SeqCst);
                }
                let text = match &answer {
                    Answer::Value(_) => "served".to_string(),
                    other => format!("{other:?}"),
                };
                let remark = if is_lost { "  <- LOST: no final answer in time" } else { "" };
                record.line(&format!("{name} request {id}: {text} after {waited} ms{remark}"));
                answer
            }
            Err(error) => Answer::None(error.kind().to_string()),
        };
        let count = if matches!(answer, Answer::Value(_)) { &counts.served } else { &counts.unserved };
        count.fetch_add(1, SeqCst);
        if matches!(answer, Answer::Value(_)) {
            connection = Some(client);
        }
    }
}

pub fn run(path: &str) -> i32 {
    let record = Record::create(path);
    let hosts: Vec<String> = (0..HOSTS)
        .map(|number| {
            let record = record.clone();
            let address = listen(move |stream, _| {
                let _ = serve(stream, &format!("s{number}"), &record);
            });
            host(&format!("s{number}"), address, "welshpool")
        })
        .collect();
    let (discovery, platform, address) = (start_discovery(hosts.clone()), start_platform(), free_address());
    let config = configuration(address, discovery, platform, &hosts);
    let mut gateway = Gateway::start(&config, address, discovery);
    let stuck_clients = if is_troubled() { STUCK_CLIENTS } else { 0 };
    record.say(&format!("gateway ready; clients that stop in the middle of a request: {stuck_clients}"));
    let is_over = Arc::new(AtomicBool::new(false));
    let (large, small) = (Arc::new(Counts::default()), Arc::new(Counts::default()));
    let mut clients = Vec::new();
    for number in 0..stuck_clients {
        let (record, is_over) = (record.clone(), is_over.clone());
        clients.push(thread::spawn(move || play_stuck_client(address, number, &record, &is_over)));
    }
    for number in 0..LARGE_CLIENTS + SMALL_CLIENTS {
        let is_large = number < LARGE_CLIENTS;
        let counts = if is_large { large.clone() } else { small.clone() };
        let (record, is_over) = (record.clone(), is_over.clone());
        let name = format!("{}{number}", if is_large { "large" } else { "small" });
        clients.push(thread::spawn(move || play_client(address, &name, is_large, &record, &counts, &is_over)));
    }
    let until = Instant::now() + PLAY;
    while Instant::now() < until && gateway.is_alive() {
        thread::sleep(ms(50));
    }
    is_over.store(true, SeqCst);
    clients.into_iter().for_each(|client| client.join().expect("a client ends"));
    let load = |count: &AtomicU64| count.load(SeqCst);
    for (name, counts) in [("10 KiB", &large), ("small", &small)] {
        let (served, unserved, lost) = (load(&counts.served), load(&counts.unserved), load(&counts.lost));
        record.say(&format!("{name} requests: served {served}, not served {unserved}, of all these lost {lost}"));
    }
    if !gateway.is_alive() || load(&small.served) < 50 {
        could_not_run("the gateway ended, or hardly served");
    }
    i32::from(load(&large.lost) + load(&small.lost) > 0)
}

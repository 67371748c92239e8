//! An instance behind a link between two sites sends some answers twice, the second copy some milliseconds later.

use crate::common::{
    Answer, Client, Gateway, Random, Record, READY, configuration, could_not_run, field, free_address, host,
    insert, is_troubled, listen, ms, query, read_message, row, select, start_discovery, start_link, start_platform, welcome,
};
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::thread;
use std::time::{Duration, Instant};

/// One-way time between the two sites; the brief gives 1.4 to 2.6 ms.
const ONE_WAY: Duration = Duration::from_millis(2);
/// Time from an answer to its second copy.
const COPY_AFTER: Duration = Duration::from_millis(3);
/// One answer in so many is sent twice.
const COPY_ONE_IN: u64 = 20;
/// Work of an instance for a request.
const WORK: Duration = Duration::from_millis(8);
const HOSTS: usize = 3;
/// Clients, each with a connection of its own and one request at a time: together some 130 requests a second.
const CLIENTS: u64 = 12;
const PAUSE_MS: u64 = 130;
const PLAY: Duration = Duration::from_secs(15);
const WAIT_MS: u64 = 3000;

static COPIES: AtomicU64 = AtomicU64::new(0);

/// Serves one connection of an instance. The value of an answer names the instance and the request that it was made for.
fn serve(mut stream: TcpStream, name: &str, record: &Record, answers: &AtomicU64) -> std::io::Result<()> {
    welcome(&mut stream)?;
    loop {
        stream.set_read_timeout(None)?;
        let (kind, body) = read_message(&mut stream)?;
        if kind != b'Q' {
            return Ok(());
        }
        let text = String::from_utf8_lossy(&body[..body.len() - 1]).to_string();
        let Some(id) = field(&text, "id") else { return Ok(()) };
        record.line(&format!("{name} runs {id}"));
        thread::sleep(WORK);
        let tag = if text.starts_with("INSERT") { "INSERT 0 1" } else { "SELECT 1" };
        let answer = row(format!("{name}/{id}").as_bytes(), tag);
        stream.write_all(&[&answer[..], READY].concat())?;
        let number = answers.fetch_add(1, SeqCst);
        if !is_troubled() || !number.is_multiple_of(COPY_ONE_IN) {
            continue;
        }
        // The second copy is sent only if nothing waits on this connection by then, not even a part of a query.
        stream.set_read_timeout(Some(COPY_AFTER))?;
        match stream.peek(&mut [0]) {
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                stream.write_all(&answer)?;
                COPIES.fetch_add(1, SeqCst);
                record.line(&format!("{name} sends the answer to {id} a second time"));
            }
            _ => {}
        }
    }
}

fn start_instance(number: usize, record: &Record) -> SocketAddr {
    let (record, answers) = (record.clone(), AtomicU64::new(1));
    listen(move |stream, _| {
        let _ = serve(stream, &format!("s{number}"), &record, &answers);
    })
}

#[derive(Default)]
struct Counts {
    served: AtomicU64,
    unserved: AtomicU64,
    foreign: AtomicU64,
}

fn play_client(gateway: SocketAddr, number: u64, record: &Record, counts: &Counts, is_over: &AtomicBool) {
    let mut random = Random::new(number + 1);
    let mut connection = None;
    while !is_over.load(SeqCst) {
        thread::sleep(ms(random.below(PAUSE_MS)));
        let mut client = match connection.take().map_or_else(|| Client::connect(gateway), Ok) {
            Ok(client) => client,
            Err(_) => continue,
        };
        let (id, key) = (random.id(), random.id());
        // Half of the requests look, a quarter book and a quarter pay.
        let (class, text) = match random.below(4) {
            0 => ("book", insert("basket", "9f03", &format!("id={id},c=book,d=1500,k={key}"))),
            1 => ("pay", insert("bill", "9f03", &format!("id={id},c=pay,d={WAIT_MS}"))),
            _ => ("look", select(&format!("item{number}"), &format!("id={id},c=look,d={WAIT_MS}"))),
        };
        record.line(&format!("c{number} sends {id} ({class})"));
        let answer = match client.send(&query(&text)) {
            Ok(()) => client.read_answer(ms(WAIT_MS + 1000)),
            Err(error) => Answer::None(error.kind().to_string()),
        };
        match &answer {
            Answer::Value(value) => {
                let value = String::from_utf8_lossy(value).to_string();
                counts.served.fetch_add(1, SeqCst);
                let is_own = value.split('/').nth(1) == Some(id.as_str());
                if !is_own {
                    counts.foreign.fetch_add(1, SeqCst);
                }
                let remark = if is_own { "" } else { "  <- NOT MADE FOR THIS REQUEST" };
                record.line(&format!("c{number} request {id} is served with {value}{remark}"));
                connection = Some(client);
            }
            other => {
                counts.unserved.fetch_add(1, SeqCst);
                record.line(&format!("c{number} request {id} is not served: {other:?}"));
                if matches!(other, Answer::Error(_)) {
                    connection = Some(client);
                }
            }
        }
    }
}

pub fn run(path: &str) -> i32 {
    let record = Record::create(path);
    let hosts: Vec<String> = (0..HOSTS)
        .map(|number| {
            let link = start_link(start_instance(number, &record), ONE_WAY);
            host(&format!("s{number}"), link, "malaga")
        })
        .collect();
    let (discovery, platform, address) = (start_discovery(hosts.clone()), start_platform(), free_address());
    let config = configuration(address, discovery, platform, &hosts);
    let mut gateway = Gateway::start(&config, address, discovery);
    record.say(&format!("gateway ready; second copies: {}", if is_troubled() { "one in 20" } else { "none" }));
    let counts = Arc::new(Counts::default());
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, counts, is_over) = (record.clone(), counts.clone(), is_over.clone());
            thread::spawn(move || play_client(address, number, &record, &counts, &is_over))
        })
        .collect();
    let until = Instant::now() + PLAY;
    while Instant::now() < until && gateway.is_alive() {
        thread::sleep(ms(50));
    }
    is_over.store(true, SeqCst);
    clients.into_iter().for_each(|client| client.join().expect("a client ends"));
    let load = |count: &AtomicU64| count.load(SeqCst);
    let (served, unserved, foreign) = (load(&counts.served), load(&counts.unserved), load(&counts.foreign));
    record.say(&format!(
        "served {served}, not served {unserved}, second copies {}, served with another request's value {foreign}",
        load(&COPIES)
    ));
    if !gateway.is_alive() || served < 100 {
        could_not_run("the gateway ended, or hardly served");
    }
    i32::from(foreign > 0)
}

//! Clients behind a front: they hold on to connections and open further ones when all are busy.

use crate::{now_ms, pg};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Below the time after which a gateway may close a connection with no request open.
const MAX_IDLE_MS: f64 = 1500.0;

#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Served(Vec<u8>),
    Refused,
    Failed(String),
    /// The connection ended without an answer, on a new connection too.
    Lost,
    /// No answer within the client's time and half a second.
    Nothing,
}

#[derive(Clone, Debug)]
pub struct Outcome {
    pub id: String,
    pub class: String,
    pub item: String,
    pub sent_at: f64,
    pub answered_at: f64,
    pub answer: Answer,
}

#[derive(Clone)]
pub struct Clients {
    gateway: SocketAddr,
    idle: Arc<Mutex<Vec<(TcpStream, f64)>>>,
    pub outcomes: Arc<Mutex<Vec<Outcome>>>,
}

#[derive(Clone)]
pub struct Ask {
    pub id: String,
    pub class: String,
    pub item: String,
    pub tenant: String,
    pub d: u64,
    /// The key of a request with an effect, and its value in hex.
    pub insert: Option<(String, String)>,
    /// Work in microseconds, as a hint.
    pub hint: Option<u64>,
}

impl Ask {
    fn text(&self) -> String {
        let Ask { id, class, item, tenant, d, .. } = self;
        let hint = self.hint.map_or(String::new(), |hint| format!(",h={hint}"));
        match &self.insert {
            None => {
                format!("SELECT doc FROM items WHERE id = '{item}' /* id={id},c={class},t={tenant},d={d}{hint} */")
            }
            Some((key, value)) => format!(
                "INSERT INTO items (id, doc) VALUES ('{item}', '\\x{value}') RETURNING doc /* id={id},c={class},t={tenant},d={d},k={key}{hint} */"
            ),
        }
    }
}

impl Clients {
    pub fn new(gateway: SocketAddr) -> Self {
        Clients { gateway, idle: Arc::default(), outcomes: Arc::default() }
    }

    /// Opens a connection; the first query may follow directly.
    fn connect(&self) -> io::Result<TcpStream> {
        let mut stream = TcpStream::connect(self.gateway)?;
        stream.set_nodelay(true)?;
        stream.write_all(&pg::startup())?;
        stream.set_read_timeout(Some(Duration::from_secs(5)))?;
        while pg::read_message(&mut stream)?.kind != b'Z' {}
        Ok(stream)
    }

    /// Asks in a thread of its own.
    pub fn spawn(&self, ask: Ask) -> std::thread::JoinHandle<()> {
        let clients = self.clone();
        std::thread::spawn(move || {
            clients.ask(&ask);
        })
    }

    pub fn ask(&self, ask: &Ask) -> Outcome {
        let sent_at = now_ms();
        let mut answer = self.ask_once(ask, true);
        if answer.is_none() {
            // A close crossed the request, which was not read: it is sent once more on a new connection.
            answer = self.ask_once(ask, false);
        }
        let outcome = Outcome {
            id: ask.id.clone(),
            class: ask.class.clone(),
            item: ask.item.clone(),
            sent_at,
            answered_at: now_ms(),
            answer: answer.unwrap_or(Answer::Lost),
        };
        self.outcomes.lock().unwrap().push(outcome.clone());
        outcome
    }

    fn take_idle(&self) -> Option<TcpStream> {
        let mut idle = self.idle.lock().unwrap();
        let now = now_ms();
        idle.retain(|(_, since)| now - since < MAX_IDLE_MS);
        idle.pop().map(|(stream, _)| stream)
    }

    /// `None` if the connection ended before any byte of an answer.
    fn ask_once(&self, ask: &Ask, may_reuse: bool) -> Option<Answer> {
        let reused = if may_reuse { self.take_idle() } else { None };
        let mut stream = match reused {
            Some(stream) => stream,
            None => self.connect().ok()?,
        };
        stream.set_read_timeout(Some(Duration::from_millis(ask.d + 500))).ok()?;
        stream.write_all(&pg::query(&ask.text())).ok()?;
        let mut answer = None;
        loop {
            match pg::read_message(&mut stream) {
                Ok(message) => match message.kind {
                    b'D' => answer = Some(Answer::Served(message.body[6..].to_vec())),
                    b'E' => {
                        let code = pg::code_of(&message.body);
                        let refused = code == "53300" || code == "57P03";
                        answer = Some(if refused { Answer::Refused } else { Answer::Failed(code) });
                    }
                    b'Z' => {
                        self.idle.lock().unwrap().push((stream, now_ms()));
                        return Some(answer.unwrap_or(Answer::Nothing));
                    }
                    _ => {}
                },
                Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                    return Some(Answer::Nothing);
                }
                Err(_) => return answer,
            }
        }
    }

    /// Waits until the gateway answers an empty query. `false` after `within_ms`.
    pub fn wait_until_ready(&self, within_ms: f64) -> bool {
        let end = now_ms() + within_ms;
        while now_ms() < end {
            if let Ok(mut stream) = self.connect()
                && stream.set_read_timeout(Some(Duration::from_secs(6))).is_ok()
                && stream.write_all(&pg::query("")).is_ok()
                && pg::read_message(&mut stream).is_ok_and(|message| message.kind == b'I')
            {
                return true;
            }
            crate::sleep_ms(20.0);
        }
        false
    }
}

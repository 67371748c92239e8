//! The platform: the feed, and votes. Ages are those at the time of writing.

use crate::http::{json_value, read_request, reply, start_chunked, write_chunk};
use crate::record::note;
use crate::{now_ms, sleep_ms};
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

#[derive(Clone, Debug, PartialEq)]
pub struct Rollout {
    pub version: u32,
    pub step: u32,
    pub status: &'static str,
    pub cap: f64,
    /// When it came to stand so, as `now_ms()`.
    pub began: f64,
}

impl Rollout {
    pub fn json(&self) -> String {
        format!(
            r#"{{"version":{},"step":{},"status":"{}","maxWeight":{},"observedAgoMs":{}}}"#,
            self.version,
            self.step,
            self.status,
            self.cap,
            (now_ms() - self.began).max(0.0).round() as u64
        )
    }
}

struct State {
    current: Rollout,
    /// The state that was told last, and the number of times that something was told.
    told: Rollout,
    tellings: u64,
}

#[derive(Clone)]
pub struct Platform {
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Platform {
    pub fn start(initial: Rollout) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port on loopback");
        let addr = listener.local_addr().expect("the address of a listener");
        let state = State { current: initial.clone(), told: initial, tellings: 0 };
        let platform = Platform { addr, state: Arc::new(Mutex::new(state)) };
        let shared = platform.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                std::thread::spawn(move || shared.serve(stream));
            }
        });
        platform
    }

    /// The state changes now; it is told later.
    pub fn change(&self, rollout: Rollout) {
        note(format!(
            "platform: build {} comes to stand at step {} {} cap {}",
            rollout.version, rollout.step, rollout.status, rollout.cap
        ));
        self.state.lock().unwrap().current = rollout;
    }

    /// Tells the present state on all open feeds.
    pub fn tell(&self) {
        let mut state = self.state.lock().unwrap();
        state.told = state.current.clone();
        state.tellings += 1;
        note(format!("platform: told {}", state.told.json()));
    }

    pub fn current(&self) -> Rollout {
        self.state.lock().unwrap().current.clone()
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        loop {
            let request = read_request(&mut reader).ok()?;
            if request.path == "/v1/feed" {
                return self.feed(&mut writer);
            }
            sleep_ms(80.0);
            self.vote(&mut writer, &request.body)?;
        }
    }

    fn feed(&self, writer: &mut TcpStream) -> Option<()> {
        start_chunked(writer).ok()?;
        let line = |rollout: &Rollout| format!("{{\"type\":\"ROLLOUT\",\"object\":{}}}\n", rollout.json());
        let (mut seen, first) = {
            let state = self.state.lock().unwrap();
            (state.tellings, line(&state.told))
        };
        write_chunk(writer, &first).ok()?;
        let mut last_sign = now_ms();
        loop {
            let told = {
                let state = self.state.lock().unwrap();
                (state.tellings > seen).then(|| {
                    seen = state.tellings;
                    line(&state.told)
                })
            };
            if let Some(told) = told {
                write_chunk(writer, &told).ok()?;
            }
            if now_ms() - last_sign >= 1000.0 {
                write_chunk(writer, "{}\n").ok()?;
                last_sign = now_ms();
            }
            sleep_ms(2.0);
        }
    }

    /// A vote counts if it is for the present build and stage, and the build is on trial or released.
    fn vote(&self, writer: &mut TcpStream, body: &str) -> Option<()> {
        let current = self.current();
        let version = json_value(body, "version");
        let step = json_value(body, "step");
        let verdict = json_value(body, "vote").unwrap_or_default();
        let is_for_stage = verdict == "reject" || verdict == "clear" || step == Some(current.step.to_string());
        let is_open = matches!(current.status, "IN_PROGRESS" | "COMPLETE");
        let counts = version == Some(current.version.to_string()) && is_for_stage && is_open;
        note(format!("platform: vote {body} {}", if counts { "counts" } else { "is stale" }));
        if counts {
            let json = current.json();
            reply(writer, "200 OK", &json).ok()
        } else {
            reply(writer, "409 Conflict", r#"{"error":"STALE"}"#).ok()
        }
    }
}

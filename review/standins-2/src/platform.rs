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

/// How votes act where one vote for going on moves a stage and one for going back takes the build off (`single`).
#[derive(Clone)]
pub struct Single {
    /// When the stage will have run for long enough, as `now_ms()`.
    pub soak_over: f64,
    pub vote_life_ms: f64,
    pub caps: [f64; 4],
    /// How long after each change it is told; 400 ms after the last of these.
    pub told_after_ms: Vec<f64>,
}

/// From a move to the next stage until that can move: the start of its machines, and the time that it has to run.
const NEXT_STAGE_MS: f64 = 2500.0 + 2000.0;

struct State {
    single: Option<Single>,
    /// Until when the votes for going on stand, of the program under test and of other gateways.
    approved_until: [f64; 2],
    /// When the present state is told.
    tell_at: Option<f64>,
    current: Rollout,
    /// The state that was told last, and the number of times that something was told.
    told: Rollout,
    tellings: u64,
}

impl State {
    fn set(&mut self, next: Rollout, now: f64) {
        note(format!("platform: build {} comes to stand at step {} {} cap {}", next.version, next.step, next.status, next.cap));
        self.current = next;
        self.approved_until = [0.0; 2];
        if let Some(single) = &mut self.single {
            let after = if single.told_after_ms.is_empty() { 400.0 } else { single.told_after_ms.remove(0) };
            single.soak_over = now + NEXT_STAGE_MS;
            self.tell_at = Some(now + after);
        }
    }

    /// Counts a vote on the present build; `voter` is 0 for the program under test. Each has one vote at a time.
    fn count(&mut self, voter: usize, verdict: &str) {
        let now = now_ms();
        let Some(single) = &self.single else { return };
        match verdict {
            "approve" => self.approved_until[voter] = now + single.vote_life_ms,
            "reject" => {
                let Rollout { version, step, .. } = self.current;
                self.set(Rollout { version, step, status: "ROLLING_BACK", cap: 0.0, began: now }, now);
            }
            _ => self.approved_until[voter] = 0.0,
        }
    }
}

#[derive(Clone)]
pub struct Platform {
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Platform {
    /// A platform whose build is released, or whose state only the caller changes.
    pub fn start(initial: Rollout) -> Self {
        Self::start_with(initial, None)
    }

    /// A platform that acts on votes.
    pub fn start_single(initial: Rollout, single: Single) -> Self {
        Self::start_with(initial, Some(single))
    }

    fn start_with(initial: Rollout, single: Option<Single>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port on loopback");
        let addr = listener.local_addr().expect("the address of a listener");
        let acts = single.is_some();
        let (told, approved_until, tell_at) = (initial.clone(), [0.0; 2], None);
        let state = State { single, approved_until, tell_at, current: initial, told, tellings: 0 };
        let platform = Platform { addr, state: Arc::new(Mutex::new(state)) };
        let shared = platform.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                std::thread::spawn(move || shared.serve(stream));
            }
        });
        if acts {
            let shared = platform.clone();
            std::thread::spawn(move || {
                loop {
                    shared.act();
                    sleep_ms(2.0);
                }
            });
        }
        platform
    }

    /// Moves a stage on whose time is over while a vote for going on stands, and tells what is due.
    fn act(&self) {
        let now = now_ms();
        let mut state = self.state.lock().unwrap();
        let is_on_trial = state.current.status == "IN_PROGRESS";
        if let Some(single) = state.single.clone()
            && is_on_trial
            && state.approved_until.iter().any(|until| *until > now)
            && now >= single.soak_over
        {
            let Rollout { version, step, .. } = state.current;
            let (status, step) = if step == 3 { ("COMPLETE", 3) } else { ("IN_PROGRESS", step + 1) };
            let next = Rollout { version, step, status, cap: single.caps[step as usize], began: now };
            state.set(next, now);
        }
        let is_due = state.tell_at.is_some_and(|at| now >= at);
        if is_due {
            state.tell_at = None;
        }
        drop(state);
        if is_due {
            self.tell();
        }
    }

    /// When the present stage will have run for long enough.
    pub fn set_soak_over(&self, at: f64) {
        self.state.lock().unwrap().single.as_mut().expect("a platform that acts on votes").soak_over = at;
    }

    /// Another gateway votes on the present stage.
    pub fn vote_by_another(&self, verdict: &str) {
        note(format!("platform: another gateway votes {verdict}"));
        self.state.lock().unwrap().count(1, verdict);
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
            self.state.lock().unwrap().count(0, &verdict);
            let json = self.current().json();
            reply(writer, "200 OK", &json).ok()
        } else {
            reply(writer, "409 Conflict", r#"{"error":"STALE"}"#).ok()
        }
    }
}

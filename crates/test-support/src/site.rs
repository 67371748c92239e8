//! A site's list and platform that hold a state: whoever asks is told it, and every change as it comes.

use crate::wire::{STREAM, Says, Service, answer, chunk};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Signs of life come this often: a feed shows one every second, the list every two.
const ALIVE: Duration = Duration::from_millis(900);

#[derive(Debug)]
struct State {
    version: u64,
    hosts: Vec<Value>,
    news: Value,
    since: Instant,
}

impl State {
    /// The newest build's state, with the age that it has by now.
    fn news(&self) -> Value {
        let mut news = self.news.clone();
        news["observedAgoMs"] = json!(self.since.elapsed().as_millis() as u64);
        news
    }
}

/// The two services and what they tell.
#[derive(Clone)]
pub struct Site {
    state: Arc<Mutex<State>>,
    pub list: Service,
    pub platform: Service,
}

/// One vote: build, stage, and the word.
pub type Ballot = (u64, u64, String);

impl Site {
    /// Starts with a list at this version and a state of the newest build.
    pub fn start(version: u64, hosts: Vec<Value>, news: Value) -> Self {
        let state = Arc::new(Mutex::new(State { version, hosts, news, since: Instant::now() }));
        let held = state.clone();
        let list = Service::start(move |call| {
            let state = held.lock().unwrap_or_else(PoisonError::into_inner);
            let page = json!({"seq": state.version, "whole": true, "hosts": state.hosts}).to_string();
            match call.split("after=").nth(1) {
                Some(after) if after.split(' ').next() == Some(state.version.to_string().as_str()) => {
                    Says::Bytes(format!("{STREAM}{}", chunk("\n")))
                }
                Some(_) => Says::Bytes(format!("{STREAM}{}", chunk(&format!("{page}\n")))),
                None => Says::Last(answer(200, &page)),
            }
        });
        let held = state.clone();
        let platform = Service::start(move |call| {
            let state = held.lock().unwrap_or_else(PoisonError::into_inner);
            let line = json!({"type": "ROLLOUT", "object": state.news()}).to_string();
            match call.contains("ballots") {
                true => Says::Bytes(answer(200, &state.news().to_string())),
                false => Says::Bytes(format!("{STREAM}{}", chunk(&format!("{line}\n")))),
            }
        });
        let (told, fed) = (list.clone(), platform.clone());
        thread::spawn(move || {
            loop {
                thread::sleep(ALIVE);
                told.write(&chunk("\n"));
                fed.write(&chunk("{}\n"));
            }
        });
        Site { state, list, platform }
    }

    fn held(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces or adds hosts; `removed` ones are told and leave the list.
    pub fn change(&self, hosts: &[Value]) -> u64 {
        let mut version = 0;
        self.list.tell_made(|| {
            let mut state = self.held();
            state.version += 1;
            for host in hosts {
                state.hosts.retain(|held| held["host"] != host["host"]);
                if host["health"] != "removed" {
                    state.hosts.push(host.clone());
                }
            }
            version = state.version;
            json!({"seq": version, "whole": false, "hosts": hosts})
        });
        version
    }

    /// Tells another state of the newest build.
    pub fn rollout(&self, build: u32, stage: u32, status: &str, cap: f64) {
        self.platform.tell_made(|| {
            let mut state = self.held();
            (state.news, state.since) = (crate::wire::state(build, stage, status, cap), Instant::now());
            json!({"type": "ROLLOUT", "object": state.news()})
        });
    }

    /// Tells a tally.
    pub fn sample(&self, build: u32, product: &str, count: u64, failed: u64, took: f64) {
        let object = json!({"version": build, "kind": product, "requests": count, "failures": failed,
            "avgMs": took, "observedAgoMs": 500});
        self.platform.tell(&json!({"type": "SAMPLE", "object": object}));
    }

    /// All votes so far.
    pub fn votes(&self) -> Vec<Ballot> {
        let calls = self.platform.calls.lock().unwrap_or_else(PoisonError::into_inner);
        let read = |(line, body): &(String, String)| {
            let vote: Value = line.contains("ballots").then(|| serde_json::from_str(body).ok())??;
            Some((vote["version"].as_u64()?, vote["step"].as_u64()?, vote["vote"].as_str()?.to_string()))
        };
        calls.iter().filter_map(read).collect()
    }

    pub fn version(&self) -> u64 {
        self.held().version
    }
}

/// An operator's file, as text, of a control service at a site.
pub fn plan(
    name: &str, list: SocketAddr, platform: SocketAddr, listen: SocketAddr, hosts_apart: bool, more: &str,
) -> String {
    format!(
        r#"
def product(name, effect, remember):
    return {{"name": name, "effect": effect, "aim-s": 0.6, "hard-limit-s": 2.0, "gain": 1.0, "group": "all",
        "dedup-window-s": remember}}

control = {{
    "name": "{name}",
    "discovery": "{list}",
    "platform": "{platform}",
    "seed": 7,
    {more}
    "settings": {{
        "classes": [product("look", "idempotent", 0.0), product("book", "deduplicated", 5.0),
            product("pay", "at_most_once", 0.0)],
        "domain": {{"allowance": 2.0, "caps": [0.1, 0.5, 1.0], "window-s": 2.0, "counts": "all",
            "vote-mode": "single", "votes-to-go": 1, "votes-to-revert": 1, "vote-ttl-s": 4.0, "soak-s": 1.0,
            "api-timeout-s": 1.0, "style": "rolling"}},
        "permissions": {{"cancelling": True, "second-copies": False, "try-limit": 3}},
        "rules": {{"ask-within-s": 1.0, "drain-grace-s": 2.0, "cold-from": 0.5, "warm-up-s": 2.0,
            "tip-multiple": 3.0, "fall-s": 1.5}},
        "registry-mode": "subscribe", "me": 0, "replicas-of-me": 1,
    }},
    "xds": {{
        "listen": "{listen}",
        "listener": "127.0.0.1:10000",
        "in_flight_per_host": 64,
        "hosts_apart": {apart},
    }},
}}
"#,
        apart = if hosts_apart { "True" } else { "False" }
    )
}

//! Service discovery and a platform with a state: calls get the state, and open streams get every change.

use crate::fake_http::{FakeHttpService, HttpCall, HttpReply, chunk, response};
use crate::lock_ignoring_poison;
use crate::platform_messages::{endpoint_list, is_vote, rollout_line, rollout_state};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Interval of keepalives: the feed promises one every second, service discovery every two.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(900);

#[derive(Debug)]
struct State {
    list_version: u64,
    hosts: Vec<Value>,
    rollout: Value,
    rollout_since: Instant,
}

impl State {
    /// The rollout state with its current age.
    fn rollout(&self) -> Value {
        let mut rollout = self.rollout.clone();
        rollout["observedAgoMs"] = json!(self.rollout_since.elapsed().as_millis() as u64);
        rollout
    }

    /// The reply of service discovery to a fetch, or to a watch after a version.
    fn discovery_reply(&self, request_line: &str) -> HttpReply {
        let list = endpoint_list(self.list_version, true, &self.hosts).to_string();
        let Some(after) = request_line.split("after=").nth(1) else {
            return HttpReply::Close(response(200, &list));
        };
        let is_current = after.split(' ').next() == Some(self.list_version.to_string().as_str());
        HttpReply::stream(if is_current { "" } else { &list })
    }

    /// The reply of the platform to a vote, or to a call for the feed.
    fn platform_reply(&self, request_line: &str) -> HttpReply {
        if is_vote(request_line) {
            return HttpReply::KeepOpen(response(200, &self.rollout().to_string()));
        }
        HttpReply::stream(&rollout_line(&self.rollout()).to_string())
    }
}

/// Service discovery and the platform.
#[derive(Clone)]
pub struct FakePlatform {
    state: Arc<Mutex<State>>,
    /// Service discovery.
    pub discovery: FakeHttpService,
    /// The platform's feed, which also receives votes.
    pub feed: FakeHttpService,
}

/// One vote on a stage of a rollout.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vote {
    /// The version that is voted on.
    pub version: u64,
    /// The stage of its rollout.
    pub stage: u64,
    /// The vote, `approve` or `reject`.
    pub decision: String,
}

impl FakePlatform {
    /// Starts with an endpoint list at this version, and a rollout state.
    ///
    /// # Panics
    /// A socket cannot be opened.
    pub fn start(list_version: u64, hosts: Vec<Value>, rollout: Value) -> Self {
        let state = State { list_version, hosts, rollout, rollout_since: Instant::now() };
        let state = Arc::new(Mutex::new(state));
        let discovery_state = state.clone();
        let discovery =
            FakeHttpService::start(move |line| lock_ignoring_poison(&discovery_state).discovery_reply(line));
        let feed_state = state.clone();
        let feed = FakeHttpService::start(move |line| lock_ignoring_poison(&feed_state).platform_reply(line));
        send_keepalives(discovery.clone(), feed.clone());
        FakePlatform { state, discovery, feed }
    }

    /// Replaces or adds hosts; those with the health `removed` are removed. Returns the list's version.
    pub fn update_hosts(&self, hosts: &[Value]) -> u64 {
        let mut version = 0;
        self.discovery.send_line_with(|| {
            let mut state = lock_ignoring_poison(&self.state);
            state.list_version += 1;
            for host in hosts {
                state.hosts.retain(|listed| listed["host"] != host["host"]);
                if host["health"] != "removed" {
                    state.hosts.push(host.clone());
                }
            }
            version = state.list_version;
            endpoint_list(version, false, hosts)
        });
        version
    }

    /// Changes the rollout state.
    pub fn update_rollout(&self, version: u32, stage: u32, status: &str, cap: f64) {
        self.feed.send_line_with(|| {
            let mut current = lock_ignoring_poison(&self.state);
            current.rollout = rollout_state(version, stage, status, cap);
            current.rollout_since = Instant::now();
            rollout_line(&current.rollout())
        });
    }

    /// Reports outcomes of requests; `mean_latency_ms` in ms.
    pub fn report_outcomes(&self, version: u32, class: &str, count: u64, failed: u64, mean_latency_ms: f64) {
        let object = json!({"version": version, "kind": class, "requests": count, "failures": failed,
            "avgMs": mean_latency_ms, "observedAgoMs": 500});
        self.feed.send_line(&json!({"type": "SAMPLE", "object": object}));
    }

    /// All votes so far.
    pub fn votes(&self) -> Vec<Vote> {
        lock_ignoring_poison(&self.feed.calls).iter().filter_map(parse_vote).collect()
    }

    /// The version of the endpoint list.
    pub fn list_version(&self) -> u64 {
        lock_ignoring_poison(&self.state).list_version
    }
}

fn send_keepalives(discovery: FakeHttpService, feed: FakeHttpService) {
    thread::spawn(move || {
        loop {
            thread::sleep(KEEPALIVE_INTERVAL);
            discovery.write(&chunk("\n"));
            feed.write(&chunk("{}\n"));
        }
    });
}

fn parse_vote(call: &HttpCall) -> Option<Vote> {
    if !is_vote(&call.request_line) {
        return None;
    }
    let vote: Value = serde_json::from_str(&call.body).ok()?;
    Some(Vote {
        version: vote["version"].as_u64()?,
        stage: vote["step"].as_u64()?,
        decision: vote["vote"].as_str()?.to_string(),
    })
}

/// The configuration file of a control service, as text; `extra` is added to its settings.
pub fn control_config(
    name: &str, discovery: SocketAddr, platform: SocketAddr, listen: SocketAddr, separate_endpoints: bool,
    extra: &str,
) -> String {
    format!(
        r#"
def product(name, effect, remember):
    return {{"name": name, "effect": effect, "aim-s": 0.6, "hard-limit-s": 2.0, "gain": 1.0, "group": "all",
        "dedup-window-s": remember}}

control = {{
    "name": "{name}",
    "discovery": "{discovery}",
    "platform": "{platform}",
    "seed": 7,
    {extra}
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
        "hosts_apart": {separate},
    }},
}}
"#,
        separate = if separate_endpoints { "True" } else { "False" }
    )
}

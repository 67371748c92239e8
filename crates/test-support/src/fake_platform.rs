//! Service discovery and a platform with a common state: a call receives the current state, an open stream receives
//! each change.

use crate::fake_http::{FakeHttpService, HttpCall, HttpReply, chunk, response};
use crate::lock_ignoring_poison;
use crate::platform_messages::{endpoint_list, is_vote, rollout_line, rollout_state};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Shorter than the promised intervals, so that keepalives arrive in time: the feed promises a keepalive every second,
/// service discovery every two seconds.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(900);
/// The age of an outcome report when it is sent.
const OUTCOME_REPORT_AGE_MS: u64 = 500;

#[derive(Debug)]
struct State {
    list_version: u64,
    hosts: Vec<Value>,
    rollout: Value,
    rollout_updated_at: Instant,
}

impl State {
    /// The rollout state with its current age.
    fn rollout(&self) -> Value {
        let mut rollout = self.rollout.clone();
        rollout["observedAgoMs"] = json!(self.rollout_updated_at.elapsed().as_millis() as u64);
        rollout
    }

    /// The reply of service discovery: the complete list to a fetch; a stream to a watch, which begins with the list
    /// unless the watch names the current version.
    fn discovery_reply(&self, request_line: &str) -> HttpReply {
        let list = endpoint_list(self.list_version, true, &self.hosts).to_string();
        let Some(after) = request_line.split("after=").nth(1) else {
            return HttpReply::Close(response(200, &list));
        };
        let is_current = after.split(' ').next() == Some(self.list_version.to_string().as_str());
        HttpReply::stream(if is_current { "" } else { &list })
    }

    /// The reply of the platform: the rollout state to a vote; to any other call, a feed that begins with that state.
    fn platform_reply(&self, request_line: &str) -> HttpReply {
        if is_vote(request_line) {
            return HttpReply::KeepOpen(response(200, &self.rollout().to_string()));
        }
        HttpReply::stream(&rollout_line(&self.rollout()).to_string())
    }
}

/// Service discovery and the platform, which send keepalives on all open streams until the process exits.
#[derive(Clone)]
pub struct FakePlatform {
    state: Arc<Mutex<State>>,
    /// The service that returns and streams the endpoint list.
    pub discovery: FakeHttpService,
    /// The service that streams rollout states and outcome reports, and receives votes.
    pub feed: FakeHttpService,
}

/// A gateway's or control service's vote on one stage of a rollout.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vote {
    /// The number of the version that is rolled out.
    pub version: u64,
    /// The index of the stage in the rollout, from 0.
    pub stage: u64,
    /// `approve` or `reject`, the value of the key `vote`.
    pub decision: String,
}

impl FakePlatform {
    /// Starts both services with the initial endpoint list and its version, and the initial rollout state.
    ///
    /// # Panics
    /// No listening socket can be opened.
    pub fn start(list_version: u64, hosts: Vec<Value>, rollout: Value) -> Self {
        let state = State { list_version, hosts, rollout, rollout_updated_at: Instant::now() };
        let state = Arc::new(Mutex::new(state));
        let discovery_state = state.clone();
        let discovery =
            FakeHttpService::start(move |line| lock_ignoring_poison(&discovery_state).discovery_reply(line));
        let feed_state = state.clone();
        let feed = FakeHttpService::start(move |line| lock_ignoring_poison(&feed_state).platform_reply(line));
        send_keepalives(discovery.clone(), feed.clone());
        FakePlatform { state, discovery, feed }
    }

    /// Adds hosts or replaces those with the same id, except that hosts with the health `removed` leave the list. Sends
    /// the change to all watches under the next version, and returns that version.
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

    /// Changes the rollout state and sends it to all open feeds. `cap` is the largest share of canary traffic, from 0
    /// to 1.
    pub fn update_rollout(&self, version: u32, stage: u32, status: &str, cap: f64) {
        self.feed.send_line_with(|| {
            let mut current = lock_ignoring_poison(&self.state);
            current.rollout = rollout_state(version, stage, status, cap);
            current.rollout_updated_at = Instant::now();
            rollout_line(&current.rollout())
        });
    }

    /// Sends an outcome report to all open feeds: of `count` requests of a version and request class, `failed` failed.
    pub fn report_outcomes(&self, version: u32, class: &str, count: u64, failed: u64, mean_latency_ms: f64) {
        let object = json!({"version": version, "kind": class, "requests": count, "failures": failed,
            "avgMs": mean_latency_ms, "observedAgoMs": OUTCOME_REPORT_AGE_MS});
        self.feed.send_line(&json!({"type": "SAMPLE", "object": object}));
    }

    /// All votes received so far, in order.
    pub fn votes(&self) -> Vec<Vote> {
        lock_ignoring_poison(&self.feed.calls).iter().filter_map(parse_vote).collect()
    }

    /// The current version of the endpoint list, which each call of [`Self::update_hosts`] increments.
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

/// The text of a control service's configuration file. `extra` is inserted as further entries of the top-level object;
/// `separate_endpoints` sends each endpoint as a resource of its own on incremental streams.
pub fn control_config(
    name: &str, discovery: SocketAddr, platform: SocketAddr, listen: SocketAddr, separate_endpoints: bool,
    extra: &str,
) -> String {
    format!(
        r#"
def product(name, effect, dedup_window):
    return {{"name": name, "effect": effect, "aim-s": 0.6, "hard-limit-s": 2.0, "gain": 1.0, "group": "all",
        "dedup-window-s": dedup_window}}

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

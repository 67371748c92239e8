//! The JSON of service discovery and of the platform.

use crate::fake_http::{FakeHttpService, HttpReply};
use serde_json::{Value, json};
use std::net::SocketAddr;

/// The age of a rollout state when it is sent.
const ROLLOUT_STATE_AGE_MS: u64 = 10;

/// The entry of one endpoint in an endpoint list. `health` is a value of the wire, such as `up` or `removed`; `version`
/// is the number of the version that the endpoint runs.
pub fn host(id: &str, addr: SocketAddr, health: &str, version: u32) -> Value {
    json!({"host": id, "dial": addr.to_string(), "site": "a", "class": "m", "block": 1, "health": health,
        "share": 1.0, "born_ms": 0, "release": version})
}

/// An endpoint list: complete, or only the hosts that changed since the previous version.
pub fn endpoint_list(version: u64, is_complete: bool, hosts: &[Value]) -> Value {
    json!({"seq": version, "whole": is_complete, "hosts": hosts})
}

/// The state of the newest version's rollout. `status` is a value of the wire, such as `COMPLETE`; `cap` is the largest
/// share of canary traffic, from 0 to 1.
pub fn rollout_state(version: u32, stage: u32, status: &str, cap: f64) -> Value {
    json!({"version": version, "step": stage, "status": status, "maxWeight": cap,
        "observedAgoMs": ROLLOUT_STATE_AGE_MS})
}

/// The line of the feed that reports a rollout state.
pub(crate) fn rollout_line(state: &Value) -> Value {
    json!({"type": "ROLLOUT", "object": state})
}

/// Starts a platform whose feed begins with this rollout state. `vote_reply` maps the request line of a vote to its
/// reply.
pub fn start_feed(state: &Value, vote_reply: impl Fn(&str) -> HttpReply + Send + 'static) -> FakeHttpService {
    let line = rollout_line(state).to_string();
    FakeHttpService::start(
        move |call| if is_vote(call) { vote_reply(call) } else { HttpReply::stream(&line) },
    )
}

/// Returns `true` if a call casts a vote.
pub(crate) fn is_vote(request_line: &str) -> bool {
    request_line.contains("ballots")
}

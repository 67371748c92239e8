//! The JSON of service discovery and of the platform.

use crate::fake_http::{FakeHttpService, HttpReply};
use serde_json::{Value, json};
use std::net::SocketAddr;

/// One endpoint of an endpoint list.
pub fn host(id: &str, addr: SocketAddr, health: &str, version: u32) -> Value {
    json!({"host": id, "dial": addr.to_string(), "site": "a", "class": "m", "block": 1, "health": health,
        "share": 1.0, "born_ms": 0, "release": version})
}

/// A complete endpoint list, or a change of it.
pub fn endpoint_list(version: u64, is_complete: bool, hosts: &[Value]) -> Value {
    json!({"seq": version, "whole": is_complete, "hosts": hosts})
}

/// The state of the newest version's rollout.
pub fn rollout_state(version: u32, stage: u32, status: &str, cap: f64) -> Value {
    json!({"version": version, "step": stage, "status": status, "maxWeight": cap, "observedAgoMs": 10})
}

/// The line of the feed that reports a rollout state.
pub(crate) fn rollout_line(state: &Value) -> Value {
    json!({"type": "ROLLOUT", "object": state})
}

/// Starts a platform that reports this rollout state, and replies to votes as given.
pub fn start_feed(state: &Value, vote_reply: impl Fn(&str) -> HttpReply + Send + 'static) -> FakeHttpService {
    let line = rollout_line(state).to_string();
    FakeHttpService::start(
        move |call| if is_vote(call) { vote_reply(call) } else { HttpReply::stream(&line) },
    )
}

/// True if a call casts a vote.
pub(crate) fn is_vote(request_line: &str) -> bool {
    request_line.contains("ballots")
}

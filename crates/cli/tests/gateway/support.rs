//! Steps and checks that several subjects share.

use latchhaven_test_support::gateway::Gateway;
use latchhaven_test_support::postgres::{Client, outcome, select};
use latchhaven_test_support::wait::wait_until;
use std::io::Read;

/// Everything until the connection ends; an error where it is reset.
pub(crate) fn read_to_end(client: &mut Client) -> std::io::Result<Vec<u8>> {
    let mut all = Vec::new();
    client.0.read_to_end(&mut all).map(|_| all)
}

/// True where the bytes contain this text.
pub(crate) fn contains(all: &[u8], part: &str) -> bool {
    all.windows(part.len()).any(|window| window == part.as_bytes())
}

/// Sends requests until one is served: after an unserved one some are rejected.
pub(crate) fn wait_until_served(gateway: &Gateway) {
    let mut number = 0;
    wait_until("one is served", || {
        number += 1;
        outcome(&gateway.client().query(&select(&format!("b{number}"), "look", 15_000)))
            == Ok(format!("b{number}"))
    });
}

/// Stops the process with a signal, and waits until it is stopped.
pub(crate) fn pause(gateway: &Gateway) {
    gateway.signal("STOP");
    let stat = format!("/proc/{}/stat", gateway.pid());
    wait_until("the process is stopped", || std::fs::read_to_string(&stat).unwrap().contains(") T "));
}

/// Two clients send requests in turn during a flood; a late response would be an error.
pub(crate) fn assert_others_are_served(gateway: &Gateway) {
    let mut usual = [gateway.client(), gateway.client()];
    for number in 0..20 {
        let id = format!("u{number}");
        assert_eq!(outcome(&usual[number % 2].query(&select(&id, "look", 1900))), Ok(id));
    }
}

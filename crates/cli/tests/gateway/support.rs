//! SQLSTATEs, steps and checks that several test modules use.

use latchhaven_test_support::fake_server::FakeServer;
use latchhaven_test_support::gateway::Gateway;
use latchhaven_test_support::postgres::{Client, query_result, select};
use latchhaven_test_support::wait::wait_until;
use std::io::Read;

/// The SQLSTATE of a request that was rejected and not executed: its client may retry it.
pub(crate) const REJECTED: &str = "53300";
/// The SQLSTATE of a request that failed and may have been executed.
pub(crate) const FAILED: &str = "XX000";
/// The SQLSTATE of a query that the gateway does not know or cannot parse.
pub(crate) const INVALID_QUERY: &str = "42601";
/// The SQLSTATE of input that violates the protocol, or arrives too slowly.
pub(crate) const PROTOCOL_VIOLATION: &str = "08P01";

/// Reads until the connection closes; fails if it is reset.
pub(crate) fn read_to_end(client: &mut Client) -> std::io::Result<Vec<u8>> {
    let mut all = Vec::new();
    client.0.read_to_end(&mut all).map(|_| all)
}

/// Returns `true` if the bytes contain this text.
pub(crate) fn contains(bytes: &[u8], text: &str) -> bool {
    bytes.windows(text.len()).any(|window| window == text.as_bytes())
}

/// Sends a request with this id and checks that its response has this id as its value, as fake servers respond.
/// `timeout` in ms.
#[track_caller]
pub(crate) fn assert_served(client: &mut Client, id: &str, timeout: u32) {
    assert_eq!(query_result(&client.query(&select(id, "look", timeout))), Ok(id.to_string()));
}

/// Waits until a server has received this number of queries.
pub(crate) fn wait_until_received(server: &FakeServer, queries: usize) {
    wait_until("the query is received", || server.queries().len() == queries);
}

/// Waits until a server has accepted its first connection.
pub(crate) fn wait_until_connecting(server: &FakeServer) {
    wait_until("the first connection is accepted", || server.history.lock().unwrap().connections == 1);
}

/// Sends requests with ids `b1`, `b2` and so on until one is served; earlier ones may be rejected.
pub(crate) fn wait_until_served(gateway: &Gateway) {
    let mut number = 0;
    wait_until("a request is served", || {
        number += 1;
        query_result(&gateway.client().query(&select(&format!("b{number}"), "look", 15_000)))
            == Ok(format!("b{number}"))
    });
}

/// Suspends the process with SIGSTOP, and waits until the kernel reports it as stopped.
pub(crate) fn pause(gateway: &Gateway) {
    gateway.signal("STOP");
    let stat = format!("/proc/{}/stat", gateway.pid());
    wait_until("the process is stopped", || std::fs::read_to_string(&stat).unwrap().contains(") T "));
}

/// Checks that two clients are served in turn while another peer floods the gateway; a request that times out fails.
pub(crate) fn assert_others_are_served(gateway: &Gateway) {
    let mut clients = [gateway.client(), gateway.client()];
    for number in 0..20 {
        let id = format!("u{number}");
        assert_served(&mut clients[number % 2], &id, 1900);
    }
}

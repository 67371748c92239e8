//! Clients of the demo's gateway. Each sends one request after another and counts the outcomes.

use latchhaven_test_support::postgres::{Client, query_result, select, startup};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::thread;
use std::time::Duration;

/// Pause of a client after each response.
const REQUEST_INTERVAL: Duration = Duration::from_millis(8);
const REQUEST_TIMEOUT_MS: u32 = 1500;
/// SQLSTATEs of requests that were rejected and not executed.
const REJECTED_SQLSTATES: [&str; 2] = ["53300", "57P03"];

/// Numbers of completed requests by outcome; shared by the threads of all clients.
#[derive(Default)]
pub(super) struct OutcomeCounters {
    succeeded: AtomicU64,
    rejected: AtomicU64,
    failed: AtomicU64,
}

impl OutcomeCounters {
    pub(super) fn counts(&self) -> OutcomeCounts {
        OutcomeCounts {
            succeeded: self.succeeded.load(Relaxed),
            rejected: self.rejected.load(Relaxed),
            failed: self.failed.load(Relaxed),
        }
    }
}

/// Numbers of completed requests by outcome, at one time or in one period.
#[derive(Clone, Copy)]
pub(super) struct OutcomeCounts {
    pub(super) succeeded: u64,
    pub(super) rejected: u64,
    pub(super) failed: u64,
}

impl OutcomeCounts {
    /// The requests that were completed after `earlier`.
    pub(super) fn since(self, earlier: OutcomeCounts) -> OutcomeCounts {
        OutcomeCounts {
            succeeded: self.succeeded - earlier.succeeded,
            rejected: self.rejected - earlier.rejected,
            failed: self.failed - earlier.failed,
        }
    }

    pub(super) fn total(self) -> u64 {
        self.succeeded + self.rejected + self.failed
    }
}

/// Sends requests until `stopped` is set; reconnects when the gateway has closed the connection. Request ids contain
/// `number`, which differs between clients.
pub(super) fn run_client(
    gateway: SocketAddr, number: usize, counters: &OutcomeCounters, stopped: &AtomicBool,
) {
    let mut requests = 0u64;
    while !stopped.load(Relaxed) {
        let mut client = Client::connect(gateway);
        client.send(&startup());
        client.read_response();
        while !stopped.load(Relaxed) {
            requests += 1;
            let id = format!("c{number}n{requests}");
            let response = client.query(&select(&id, "look", REQUEST_TIMEOUT_MS));
            // The connection was closed.
            if response.is_empty() {
                break;
            }
            let counter = match query_result(&response) {
                Ok(_) => &counters.succeeded,
                Err(code) if REJECTED_SQLSTATES.contains(&code.0.as_str()) => &counters.rejected,
                Err(_) => &counters.failed,
            };
            counter.fetch_add(1, Relaxed);
            thread::sleep(REQUEST_INTERVAL);
        }
    }
}

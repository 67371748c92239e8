//! Clients of the demo's gateway: each sends one request after another, and counts the outcomes.

use latchhaven_test_support::postgres::{Client, outcome, select, startup};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::thread;
use std::time::Duration;

/// Pause between two requests of one client.
const REQUEST_INTERVAL: Duration = Duration::from_millis(8);
/// The timeout of a request, in ms.
const REQUEST_TIMEOUT: u32 = 1500;
/// SQLSTATEs with which a request is rejected without being executed.
const REJECTED: [&str; 2] = ["53300", "57P03"];

/// Outcomes of requests so far, shared by all clients.
#[derive(Default)]
pub(super) struct OutcomeCounters {
    succeeded: AtomicU64,
    rejected: AtomicU64,
    failed: AtomicU64,
}

impl OutcomeCounters {
    /// The counts now.
    pub(super) fn counts(&self) -> OutcomeCounts {
        OutcomeCounts {
            succeeded: self.succeeded.load(Relaxed),
            rejected: self.rejected.load(Relaxed),
            failed: self.failed.load(Relaxed),
        }
    }
}

/// Requests by their outcome.
#[derive(Clone, Copy)]
pub(super) struct OutcomeCounts {
    pub(super) succeeded: u64,
    pub(super) rejected: u64,
    pub(super) failed: u64,
}

impl OutcomeCounts {
    /// The counts since earlier ones.
    pub(super) fn since(self, earlier: OutcomeCounts) -> OutcomeCounts {
        OutcomeCounts {
            succeeded: self.succeeded - earlier.succeeded,
            rejected: self.rejected - earlier.rejected,
            failed: self.failed - earlier.failed,
        }
    }

    /// All requests.
    pub(super) fn total(self) -> u64 {
        self.succeeded + self.rejected + self.failed
    }
}

/// Sends requests until stopped; reconnects if the gateway closes the connection.
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
            let response = client.query(&select(&id, "look", REQUEST_TIMEOUT));
            if response.is_empty() {
                break;
            }
            let counter = match outcome(&response) {
                Ok(_) => &counters.succeeded,
                Err(code) if REJECTED.contains(&code.0.as_str()) => &counters.rejected,
                Err(_) => &counters.failed,
            };
            counter.fetch_add(1, Relaxed);
            thread::sleep(REQUEST_INTERVAL);
        }
    }
}

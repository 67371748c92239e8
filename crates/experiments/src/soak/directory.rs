//! The endpoint list, and a discovery service of its own for each gateway, so that notifications are recorded by
//! gateway.

use super::schedule::DiscoveryFault;
use latchhaven_test_support::fake_http::{FakeHttpService, HttpReply, STREAM_HEAD, chunk, response};
use latchhaven_test_support::history::{Moment, OutageRecord, StatusChangeRecord};
use latchhaven_test_support::lock_ignoring_poison;
use latchhaven_test_support::platform_messages::{endpoint_list, host};
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Number of addresses between which the discovery service of each gateway moves.
const ADDRESSES_PER_GATEWAY: usize = 2;
const FIRST_LIST_VERSION: u64 = 5;
/// Under `DiscoveryFault::CutOff`, number of bytes of an endpoint list that are sent before the connection is closed.
const CUT_OFF_BYTES: usize = 20;

/// The state that the discovery services of all gateways share.
struct State {
    started_at: Instant,
    addresses: Vec<SocketAddr>,
    /// Health of each server as listed: `up`, `draining` or `removed`.
    health: Vec<&'static str>,
    version: u64,
    status_changes: Vec<StatusChangeRecord>,
    /// Current discovery fault of each gateway that has one, and when it began.
    faults: BTreeMap<usize, (DiscoveryFault, Moment)>,
    outages: Vec<OutageRecord>,
    /// The endpoint list that was last written to each gateway, by index; the initial list if none was written yet.
    last_written: Vec<Value>,
}

impl State {
    fn now(&self) -> Moment {
        self.started_at.elapsed()
    }

    fn list(&self) -> Value {
        let listed = self.addresses.iter().zip(&self.health).enumerate();
        let listed = listed.filter(|(_, (_, health))| **health != "removed");
        let hosts: Vec<Value> = listed
            .map(|(server, (address, health))| host(&format!("s{server}"), *address, health, 1))
            .collect();
        endpoint_list(self.version, true, &hosts)
    }

    /// Records that all changes so far are written to a gateway now; returns the list to write.
    fn write_to(&mut self, gateway: usize) -> Value {
        let now = self.now();
        for change in &mut self.status_changes {
            change.written_at.entry(gateway).or_insert(now);
        }
        let list = self.list();
        self.last_written[gateway] = list.clone();
        list
    }

    /// The reply of the gateway's discovery service to a call, under the gateway's current fault.
    fn reply(&mut self, gateway: usize) -> HttpReply {
        match self.faults.get(&gateway).map(|(fault, _)| *fault) {
            Some(DiscoveryFault::Unavailable) => HttpReply::Close(response(503, "")),
            Some(DiscoveryFault::Silent) => HttpReply::Nothing,
            Some(DiscoveryFault::CutOff) => {
                let list = self.write_to(gateway).to_string();
                HttpReply::Close(format!("{STREAM_HEAD}{}", chunk(&list[..CUT_OFF_BYTES])))
            }
            None => HttpReply::stream(&self.write_to(gateway).to_string()),
        }
    }
}

/// The endpoint list, and the discovery services that publish it.
pub(super) struct Directory {
    state: Arc<Mutex<State>>,
    /// Discovery services by gateway, then by address.
    services: Vec<Vec<FakeHttpService>>,
}

impl Directory {
    pub(super) fn start(started_at: Instant, servers: &[SocketAddr], gateways: usize) -> Self {
        let mut state = State {
            started_at,
            addresses: servers.to_vec(),
            health: vec!["up"; servers.len()],
            version: FIRST_LIST_VERSION,
            status_changes: Vec::new(),
            faults: BTreeMap::new(),
            outages: Vec::new(),
            last_written: Vec::new(),
        };
        state.last_written = vec![state.list(); gateways];
        let state = Arc::new(Mutex::new(state));
        let service = |gateway: usize| {
            let state = state.clone();
            FakeHttpService::start(move |_| lock_ignoring_poison(&state).reply(gateway))
        };
        let services =
            (0..gateways).map(|gateway| (0..ADDRESSES_PER_GATEWAY).map(|_| service(gateway)).collect());
        Directory { services: services.collect(), state }
    }

    /// Address of a gateway's discovery service after this number of moves.
    pub(super) fn address(&self, gateway: usize, moves: usize) -> SocketAddr {
        self.services[gateway][moves % ADDRESSES_PER_GATEWAY].addr
    }

    /// The endpoint list that was last written to a gateway; the initial list if none was written yet.
    pub(super) fn last_written_list(&self, gateway: usize) -> Value {
        lock_ignoring_poison(&self.state).last_written[gateway].clone()
    }

    /// Lists a server as `up`, `draining` or `removed`, and notifies all gateways without a discovery fault.
    pub(super) fn list_server(&self, server: usize, health: &'static str) {
        {
            let mut state = lock_ignoring_poison(&self.state);
            state.version += 1;
            state.health[server] = health;
            let at = state.now();
            let written_at = BTreeMap::new();
            state.status_changes.push(StatusChangeRecord {
                server,
                at,
                is_ready: health == "up",
                written_at,
            });
        }
        for (gateway, services) in self.services.iter().enumerate() {
            if lock_ignoring_poison(&self.state).faults.contains_key(&gateway) {
                continue;
            }
            for service in services {
                service.send_line_with(|| lock_ignoring_poison(&self.state).list());
            }
            // Without an open watch a gateway was not notified.
            if services.iter().any(|service| !service.all_streams_closed()) {
                lock_ignoring_poison(&self.state).write_to(gateway);
            }
        }
    }

    /// Sends a keepalive on each watch of the gateways without a discovery fault.
    pub(super) fn send_keepalives(&self) {
        for (gateway, services) in self.services.iter().enumerate() {
            let has_fault = lock_ignoring_poison(&self.state).faults.contains_key(&gateway);
            if !has_fault {
                for service in services {
                    service.write(&chunk("\n"));
                }
            }
        }
    }

    /// Begins a discovery fault of a gateway. Returns `false` if the gateway already has one.
    pub(super) fn begin_fault(&self, gateway: usize, fault: DiscoveryFault) -> bool {
        {
            let mut state = lock_ignoring_poison(&self.state);
            let now = state.now();
            if state.faults.contains_key(&gateway) {
                return false;
            }
            state.faults.insert(gateway, (fault, now));
        }
        if fault != DiscoveryFault::Silent {
            self.services[gateway].iter().for_each(FakeHttpService::close_streams);
        }
        true
    }

    /// Ends the discovery fault of a gateway, if there is one.
    pub(super) fn end_fault(&self, gateway: usize) {
        let was_silent = {
            let mut state = lock_ignoring_poison(&self.state);
            let now = state.now();
            let Some((fault, from)) = state.faults.remove(&gateway) else { return };
            // No outage is recorded for a cut-off list: the list was written, so the gateway counts as notified.
            if fault == DiscoveryFault::Unavailable {
                state.outages.push(OutageRecord { gateway, from, until: now });
            }
            fault == DiscoveryFault::Silent
        };
        if was_silent {
            // Closes the watches that got no keepalives, so that the gateway opens new ones.
            self.services[gateway].iter().for_each(FakeHttpService::close_streams);
        }
    }

    /// All changes of the list, and all recorded outages of discovery, so far.
    pub(super) fn records(&self) -> (Vec<StatusChangeRecord>, Vec<OutageRecord>) {
        let state = lock_ignoring_poison(&self.state);
        (state.status_changes.clone(), state.outages.clone())
    }
}

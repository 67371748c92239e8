//! The endpoint list, and a discovery service for each gateway: which service a line is written to tells whom it told.

use super::schedule::DiscoveryFault;
use latchhaven_test_support::fake_http::{FakeHttpService, HttpReply, STREAM_HEAD, chunk, response};
use latchhaven_test_support::history::{Moment, OutageRecord, StatusChangeRecord};
use latchhaven_test_support::platform_messages::{endpoint_list, host};
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// Addresses between which the discovery service of a gateway moves.
const ADDRESSES: usize = 2;
/// The version that lists begin with.
const FIRST_VERSION: u64 = 5;
/// Bytes of a list that still arrive where it is cut off.
const CUT_OFF_LENGTH: usize = 20;

/// What the services answer from.
struct State {
    started_at: Instant,
    addresses: Vec<SocketAddr>,
    /// What each server is listed as.
    health: Vec<&'static str>,
    version: u64,
    status_changes: Vec<StatusChangeRecord>,
    /// By gateway: how discovery fails for it, and since when.
    faults: BTreeMap<usize, (DiscoveryFault, Moment)>,
    outages: Vec<OutageRecord>,
    /// By gateway: the list as it was last written to it.
    written: Vec<Value>,
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

    /// Everything listed so far is written to a gateway now.
    fn write_to(&mut self, gateway: usize) -> Value {
        let now = self.now();
        for change in &mut self.status_changes {
            change.written_at.entry(gateway).or_insert(now);
        }
        let list = self.list();
        self.written[gateway] = list.clone();
        list
    }

    fn reply(&mut self, gateway: usize) -> HttpReply {
        match self.faults.get(&gateway).map(|(fault, _)| *fault) {
            Some(DiscoveryFault::Unavailable) => HttpReply::Close(response(503, "")),
            Some(DiscoveryFault::Silent) => HttpReply::Nothing,
            Some(DiscoveryFault::CutOff) => {
                let list = self.write_to(gateway).to_string();
                HttpReply::Close(format!("{STREAM_HEAD}{}", chunk(&list[..CUT_OFF_LENGTH])))
            }
            None => HttpReply::stream(&self.write_to(gateway).to_string()),
        }
    }
}

/// The list, and its services.
pub(super) struct Directory {
    state: Arc<Mutex<State>>,
    /// By gateway, then by address.
    services: Vec<Vec<FakeHttpService>>,
}

impl Directory {
    pub(super) fn start(started_at: Instant, servers: &[SocketAddr], gateways: usize) -> Self {
        let mut state = State {
            started_at,
            addresses: servers.to_vec(),
            health: vec!["up"; servers.len()],
            version: FIRST_VERSION,
            status_changes: Vec::new(),
            faults: BTreeMap::new(),
            outages: Vec::new(),
            written: Vec::new(),
        };
        state.written = vec![state.list(); gateways];
        let state = Arc::new(Mutex::new(state));
        let service = |gateway: usize| {
            let state = state.clone();
            FakeHttpService::start(move |_| recover(&state).reply(gateway))
        };
        let services = (0..gateways).map(|gateway| (0..ADDRESSES).map(|_| service(gateway)).collect());
        Directory { services: services.collect(), state }
    }

    /// Where the service of a gateway is after so many moves.
    pub(super) fn address(&self, gateway: usize, moves: usize) -> SocketAddr {
        self.services[gateway][moves % ADDRESSES].addr
    }

    /// The list that a gateway holds.
    pub(super) fn written_list(&self, gateway: usize) -> Value {
        recover(&self.state).written[gateway].clone()
    }

    /// Lists a server as `up`, `draining` or `removed`.
    pub(super) fn list_server(&self, server: usize, health: &'static str) {
        {
            let mut state = recover(&self.state);
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
            if recover(&self.state).faults.contains_key(&gateway) {
                continue;
            }
            for service in services {
                service.send_line_with(|| recover(&self.state).list());
            }
            // A gateway without a watch was not told; that it has none is only known once it calls again.
            if services.iter().any(|service| !service.all_streams_closed()) {
                recover(&self.state).write_to(gateway);
            }
        }
    }

    /// Keeps watches alive.
    pub(super) fn send_keepalives(&self) {
        for (gateway, services) in self.services.iter().enumerate() {
            let is_silent = recover(&self.state).faults.contains_key(&gateway);
            if !is_silent {
                services.iter().for_each(|service| service.write(&chunk("\n")));
            }
        }
    }

    /// Discovery begins to fail for a gateway. False if it fails already.
    pub(super) fn fail(&self, gateway: usize, fault: DiscoveryFault) -> bool {
        {
            let mut state = recover(&self.state);
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

    /// Discovery can be reached again by a gateway.
    pub(super) fn recover(&self, gateway: usize) {
        let was_silent = {
            let mut state = recover(&self.state);
            let now = state.now();
            let Some((fault, from)) = state.faults.remove(&gateway) else { return };
            // What is cut off is written, and so told.
            if fault == DiscoveryFault::Unavailable {
                state.outages.push(OutageRecord { gateway, from, until: now });
            }
            fault == DiscoveryFault::Silent
        };
        if was_silent {
            // A watch that fell silent is broken.
            self.services[gateway].iter().for_each(FakeHttpService::close_streams);
        }
    }

    /// What was listed, and when it could not be told.
    pub(super) fn records(&self) -> (Vec<StatusChangeRecord>, Vec<OutageRecord>) {
        let state = recover(&self.state);
        (state.status_changes.clone(), state.outages.clone())
    }
}

fn recover(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

//! The gateways' processes: started, signalled, killed and started again under the same names and addresses.

use super::directory::Directory;
use latchhaven_test_support::fake_http::{FakeHttpService, HttpReply};
use latchhaven_test_support::gateway::{GatewayProcess, gateway_config, spawn_gateway};
use latchhaven_test_support::history::{ProcessEvent, ProcessRecord};
use latchhaven_test_support::platform_messages::{rollout_state, start_feed};
use latchhaven_test_support::process::{send_signal, wait_for_address};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// From SIGTERM to SIGKILL at the earliest: the longest time that clients wait, counted as 3 s where it is longer, and
/// 0.7 s.
pub(super) const SHUTDOWN_TIME: Duration = Duration::from_millis(2000 + 700);
/// The longest time that clients wait, in s.
const CLIENT_TIMEOUT_S: f64 = 2.0;

/// One gateway.
struct Gateway {
    process: GatewayProcess,
    address: SocketAddr,
    /// How often discovery has moved.
    moves: usize,
    /// It was asked to end and not yet started again.
    is_ending: bool,
}

/// All gateways.
pub(super) struct Fleet {
    started_at: Instant,
    platform: FakeHttpService,
    gateways: Vec<Gateway>,
    pub(super) processes: Vec<ProcessRecord>,
    /// Processes that ended unasked.
    pub(super) crashes: Vec<String>,
}

fn config(directory: &Directory, gateway: usize, moves: usize, count: usize, platform: SocketAddr) -> Value {
    let mut config = gateway_config(&[], directory.address(gateway, moves), platform);
    config["name"] = json!(format!("n{gateway}"));
    config["known"] = directory.written_list(gateway);
    let settings = &mut config["settings"];
    settings["me"] = json!(gateway);
    settings["replicas-of-me"] = json!(count);
    // As where fleets are large: the rule on drains allows six seconds.
    settings["rules"]["ask-within-s"] = json!(10.0);
    for class in settings["classes"].as_array_mut().into_iter().flatten() {
        class["hard-limit-s"] = json!(CLIENT_TIMEOUT_S);
    }
    config
}

impl Fleet {
    pub(super) fn start(started_at: Instant, directory: &Directory, count: usize) -> Self {
        let platform = start_feed(&rollout_state(1, 0, "COMPLETE", 1.0), |_| HttpReply::Nothing);
        let start = |gateway| {
            let process = spawn_gateway(&config(directory, gateway, 0, count, platform.addr).to_string());
            let address = wait_for_address(&process.log);
            Gateway { process, address, moves: 0, is_ending: false }
        };
        let gateways: Vec<Gateway> = (0..count).map(start).collect();
        let mut fleet = Fleet { started_at, platform, gateways, processes: Vec::new(), crashes: Vec::new() };
        (0..count).for_each(|gateway| fleet.record(gateway, ProcessEvent::Started));
        fleet
    }

    /// Where the gateways listen.
    pub(super) fn addresses(&self) -> Vec<SocketAddr> {
        self.gateways.iter().map(|gateway| gateway.address).collect()
    }

    pub(super) fn is_ending(&self, gateway: usize) -> bool {
        self.gateways[gateway].is_ending
    }

    /// Asks a gateway to end.
    pub(super) fn terminate(&mut self, gateway: usize) {
        self.gateways[gateway].is_ending = true;
        self.record(gateway, ProcessEvent::Terminated);
        self.signal(gateway, "TERM");
    }

    /// Kills a gateway, and starts it again at its address.
    pub(super) fn replace(&mut self, gateway: usize, directory: &Directory) {
        let count = self.gateways.len();
        self.check(gateway);
        let replaced = &mut self.gateways[gateway];
        let _ = replaced.process.child.kill();
        let _ = replaced.process.child.wait();
        self.record(gateway, ProcessEvent::Killed);
        let replaced = &mut self.gateways[gateway];
        let mut config = config(directory, gateway, replaced.moves, count, self.platform.addr);
        config["listen"] = json!(replaced.address.to_string());
        replaced.process = spawn_gateway(&config.to_string());
        wait_for_address(&replaced.process.log);
        replaced.is_ending = false;
        self.record(gateway, ProcessEvent::Started);
    }

    /// Moves the discovery service of a gateway.
    pub(super) fn reload(&mut self, gateway: usize, directory: &Directory) {
        let count = self.gateways.len();
        self.gateways[gateway].moves += 1;
        let reloaded = &self.gateways[gateway];
        let config = config(directory, gateway, reloaded.moves, count, self.platform.addr);
        if std::fs::write(&reloaded.process.config_path, config.to_string()).is_ok() {
            self.signal(gateway, "HUP");
        }
    }

    pub(super) fn signal(&self, gateway: usize, name: &str) {
        send_signal(self.gateways[gateway].process.child.id(), name);
    }

    /// The lines that the present process of each gateway has logged.
    pub(super) fn logs(&self) -> Vec<String> {
        let gateways = self.gateways.iter().enumerate();
        let logs = gateways.map(|(index, gateway)| (index, gateway.process.log.lock()));
        let lines = logs.flat_map(|(index, log)| {
            let lines = log.map(|log| log.clone()).unwrap_or_default();
            lines.into_iter().map(move |line| format!("n{index} {line}"))
        });
        lines.collect()
    }

    /// Ends all gateways, and notes those that had ended unasked.
    pub(super) fn stop(&mut self) {
        for gateway in 0..self.gateways.len() {
            self.check(gateway);
            let child = &mut self.gateways[gateway].process.child;
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Notes a process that has ended unasked, or with an error.
    fn check(&mut self, gateway: usize) {
        let checked = &mut self.gateways[gateway];
        let Ok(Some(status)) = checked.process.child.try_wait() else { return };
        if !checked.is_ending || !status.success() {
            self.crashes.push(format!("n{gateway}: {status}"));
        }
    }

    fn record(&mut self, gateway: usize, event: ProcessEvent) {
        self.processes.push(ProcessRecord { gateway, at: self.started_at.elapsed(), event });
    }
}

//! The gateway processes: started, signalled, killed and restarted under the same names and addresses.

use super::directory::Directory;
use latchhaven_test_support::fake_http::{FakeHttpService, HttpReply};
use latchhaven_test_support::gateway::{GatewayProcess, gateway_config, spawn_gateway};
use latchhaven_test_support::history::{ProcessEvent, ProcessRecord};
use latchhaven_test_support::platform_messages::{rollout_state, start_feed};
use latchhaven_test_support::process::{send_signal, wait_for_address};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The shortest time from SIGTERM to SIGKILL: the longest client timeout, 3 s at most, plus 0.7 s.
pub(super) const SHUTDOWN_TIME: Duration = Duration::from_millis(2000 + 700);
/// The longest client timeout, in s.
const CLIENT_TIMEOUT_S: f64 = 2.0;

/// One gateway.
struct Gateway {
    process: GatewayProcess,
    address: SocketAddr,
    /// Moves of its discovery service.
    moves: usize,
    /// It got SIGTERM and was not restarted yet.
    is_ending: bool,
}

/// All gateways.
pub(super) struct GatewayGroup {
    started_at: Instant,
    platform: FakeHttpService,
    gateways: Vec<Gateway>,
    pub(super) processes: Vec<ProcessRecord>,
    /// Processes that exited without a signal, or with an error.
    pub(super) crashes: Vec<String>,
}

fn config(directory: &Directory, gateway: usize, moves: usize, count: usize, platform: SocketAddr) -> Value {
    let mut config = gateway_config(&[], directory.address(gateway, moves), platform);
    config["name"] = json!(format!("n{gateway}"));
    config["known"] = directory.written_list(gateway);
    let settings = &mut config["settings"];
    settings["me"] = json!(gateway);
    settings["replicas-of-me"] = json!(count);
    // As in large deployments: with this interval a change counts as reported after 6 s.
    settings["rules"]["ask-within-s"] = json!(10.0);
    for class in settings["classes"].as_array_mut().into_iter().flatten() {
        class["hard-limit-s"] = json!(CLIENT_TIMEOUT_S);
    }
    config
}

impl GatewayGroup {
    pub(super) fn start(started_at: Instant, directory: &Directory, count: usize) -> Self {
        let platform = start_feed(&rollout_state(1, 0, "COMPLETE", 1.0), |_| HttpReply::Nothing);
        let start = |gateway| {
            let process = spawn_gateway(&config(directory, gateway, 0, count, platform.addr).to_string());
            let address = wait_for_address(&process.log);
            Gateway { process, address, moves: 0, is_ending: false }
        };
        let gateways: Vec<Gateway> = (0..count).map(start).collect();
        let mut started =
            GatewayGroup { started_at, platform, gateways, processes: Vec::new(), crashes: Vec::new() };
        (0..count).for_each(|gateway| started.record(gateway, ProcessEvent::Started));
        started
    }

    /// The addresses of the gateways.
    pub(super) fn addresses(&self) -> Vec<SocketAddr> {
        self.gateways.iter().map(|gateway| gateway.address).collect()
    }

    pub(super) fn is_ending(&self, gateway: usize) -> bool {
        self.gateways[gateway].is_ending
    }

    /// Sends SIGTERM to a gateway.
    pub(super) fn terminate(&mut self, gateway: usize) {
        self.gateways[gateway].is_ending = true;
        self.record(gateway, ProcessEvent::Terminated);
        self.signal(gateway, "TERM");
    }

    /// Kills a gateway, and restarts it at its address.
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

    /// Moves the discovery service of a gateway, and sends it SIGHUP.
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

    /// The log lines of the current process of each gateway.
    pub(super) fn logs(&self) -> Vec<String> {
        let gateways = self.gateways.iter().enumerate();
        let logs = gateways.map(|(index, gateway)| (index, gateway.process.log.lock()));
        let lines = logs.flat_map(|(index, log)| {
            let lines = log.map(|log| log.clone()).unwrap_or_default();
            lines.into_iter().map(move |line| format!("n{index} {line}"))
        });
        lines.collect()
    }

    /// Kills all gateways, and records crashes.
    pub(super) fn stop(&mut self) {
        for gateway in 0..self.gateways.len() {
            self.check(gateway);
            let child = &mut self.gateways[gateway].process.child;
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Records a process that has exited without a signal, or with an error.
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

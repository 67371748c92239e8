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

/// The longest client timeout in the gateways' configuration.
const CLIENT_TIMEOUT_MS: u64 = 2000;
/// A gateway shuts down within its longest client timeout, of which 3 s at most count, plus this margin.
const SHUTDOWN_MARGIN_MS: u64 = 700;
/// Time from SIGTERM to SIGKILL: the shortest that a gateway needs to complete its pending requests.
pub(super) const SHUTDOWN_TIME: Duration = Duration::from_millis(CLIENT_TIMEOUT_MS + SHUTDOWN_MARGIN_MS);

/// A gateway, which has the same name and address in all its processes.
struct Gateway {
    process: GatewayProcess,
    address: SocketAddr,
    /// How often the gateway's discovery service has moved to another address.
    discovery_moves: usize,
    /// Set after SIGTERM, until the process is replaced.
    is_shutting_down: bool,
}

/// The gateways of a run, and the records of their processes.
pub(super) struct GatewayGroup {
    started_at: Instant,
    platform: FakeHttpService,
    gateways: Vec<Gateway>,
    pub(super) processes: Vec<ProcessRecord>,
    /// Processes that exited without SIGTERM, or with an error status after it.
    pub(super) crashes: Vec<String>,
}

fn config(
    directory: &Directory, gateway: usize, discovery_moves: usize, count: usize, platform: SocketAddr,
) -> Value {
    let mut config = gateway_config(&[], directory.address(gateway, discovery_moves), platform);
    config["name"] = json!(format!("n{gateway}"));
    config["known"] = directory.last_written_list(gateway);
    let settings = &mut config["settings"];
    settings["me"] = json!(gateway);
    settings["replicas-of-me"] = json!(count);
    // The interval of large deployments: with 10 s, a change counts as reported after 6 s.
    settings["rules"]["ask-within-s"] = json!(10.0);
    for class in settings["classes"].as_array_mut().into_iter().flatten() {
        class["hard-limit-s"] = json!(Duration::from_millis(CLIENT_TIMEOUT_MS).as_secs_f64());
    }
    config
}

impl GatewayGroup {
    pub(super) fn start(started_at: Instant, directory: &Directory, count: usize) -> Self {
        let platform = start_feed(&rollout_state(1, 0, "COMPLETE", 1.0), |_| HttpReply::Nothing);
        let start = |gateway| {
            let process = spawn_gateway(&config(directory, gateway, 0, count, platform.addr).to_string());
            let address = wait_for_address(&process.log);
            Gateway { process, address, discovery_moves: 0, is_shutting_down: false }
        };
        let gateways: Vec<Gateway> = (0..count).map(start).collect();
        let mut started =
            GatewayGroup { started_at, platform, gateways, processes: Vec::new(), crashes: Vec::new() };
        (0..count).for_each(|gateway| started.record(gateway, ProcessEvent::Started));
        started
    }

    pub(super) fn addresses(&self) -> Vec<SocketAddr> {
        self.gateways.iter().map(|gateway| gateway.address).collect()
    }

    pub(super) fn is_shutting_down(&self, gateway: usize) -> bool {
        self.gateways[gateway].is_shutting_down
    }

    pub(super) fn terminate(&mut self, gateway: usize) {
        self.gateways[gateway].is_shutting_down = true;
        self.record(gateway, ProcessEvent::Terminated);
        self.signal(gateway, "TERM");
    }

    /// Sends SIGKILL to a gateway, and starts a new process at its address.
    pub(super) fn kill_and_restart(&mut self, gateway: usize, directory: &Directory) {
        let count = self.gateways.len();
        self.record_crash(gateway);
        let replaced = &mut self.gateways[gateway];
        let _ = replaced.process.child.kill();
        let _ = replaced.process.child.wait();
        self.record(gateway, ProcessEvent::Killed);
        let replaced = &mut self.gateways[gateway];
        let mut config = config(directory, gateway, replaced.discovery_moves, count, self.platform.addr);
        config["listen"] = json!(replaced.address.to_string());
        replaced.process = spawn_gateway(&config.to_string());
        wait_for_address(&replaced.process.log);
        replaced.is_shutting_down = false;
        self.record(gateway, ProcessEvent::Started);
    }

    /// Moves the discovery service of a gateway to another address, and has the gateway reload its configuration.
    pub(super) fn reload(&mut self, gateway: usize, directory: &Directory) {
        let count = self.gateways.len();
        self.gateways[gateway].discovery_moves += 1;
        let reloaded = &self.gateways[gateway];
        let config = config(directory, gateway, reloaded.discovery_moves, count, self.platform.addr);
        if std::fs::write(&reloaded.process.config_path, config.to_string()).is_ok() {
            self.signal(gateway, "HUP");
        }
    }

    pub(super) fn signal(&self, gateway: usize, name: &str) {
        send_signal(self.gateways[gateway].process.child.id(), name);
    }

    /// Log lines of the current process of each gateway, each with the gateway's name in front.
    pub(super) fn logs(&self) -> Vec<String> {
        let gateways = self.gateways.iter().enumerate();
        let logs = gateways.map(|(index, gateway)| (index, gateway.process.log.lock()));
        let lines = logs.flat_map(|(index, log)| {
            let lines = log.map(|log| log.clone()).unwrap_or_default();
            lines.into_iter().map(move |line| format!("n{index} {line}"))
        });
        lines.collect()
    }

    /// Records crashes, and sends SIGKILL to all gateways.
    pub(super) fn stop(&mut self) {
        for gateway in 0..self.gateways.len() {
            self.record_crash(gateway);
            let child = &mut self.gateways[gateway].process.child;
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Records a crash if the process has exited without SIGTERM, or with an error status after it.
    fn record_crash(&mut self, gateway: usize) {
        let checked = &mut self.gateways[gateway];
        let Ok(Some(status)) = checked.process.child.try_wait() else { return };
        if !checked.is_shutting_down || !status.success() {
            self.crashes.push(format!("n{gateway}: {status}"));
        }
    }

    fn record(&mut self, gateway: usize, event: ProcessEvent) {
        self.processes.push(ProcessRecord { gateway, at: self.started_at.elapsed(), event });
    }
}

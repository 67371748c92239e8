//! A gateway process with fakes around it.

use crate::fake_http::{FakeHttpService, HttpReply};
use crate::fake_server::FakeServer;
use crate::lock;
use crate::platform_messages::{endpoint_list, host, rollout_state, start_feed};
use crate::postgres::{Client, startup};
use crate::process::{Log, program, read_log, send_signal, wait_for_address};
use crate::wait::wait_until;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering::SeqCst};

/// A configuration that tests may change before the start.
pub fn gateway_config(hosts: &[Value], discovery: SocketAddr, platform: SocketAddr) -> Value {
    let class = |name: &str, effect: &str| {
        json!({"name": name, "aim-s": 0.6, "hard-limit-s": 2.0, "effect": effect, "group": "all",
            "dedup-window-s": 3.0, "gain": 1.0})
    };
    let domain = json!({"allowance": 2.0, "caps": [0.1, 1.0], "window-s": 2.0, "counts": "all",
        "vote-mode": "single", "votes-to-go": 1, "votes-to-revert": 1, "vote-ttl-s": 4.0, "soak-s": 1.0,
        "api-timeout-s": 0.5, "style": "rolling"});
    let permissions = json!({"cancelling": true, "second-copies": false, "try-limit": 3, "conn-idle-s": 10.0,
        "dial-timeout-s": 0.25});
    let rules = json!({"ask-within-s": 1.0, "drain-grace-s": 1.0, "cold-from": 0.5, "warm-up-s": 1.0,
        "tip-multiple": 3.0, "fall-s": 1.0});
    let classes = [class("look", "idempotent"), class("book", "deduplicated"), class("pay", "at_most_once")];
    let settings = json!({"classes": classes, "domain": domain, "me": 0, "replicas-of-me": 1,
        "registry-mode": "subscribe", "permissions": permissions, "rules": rules});
    json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "8c1f30d27a5b",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
        "pipeline": {"address": platform.to_string(), "news": rollout_state(1, 0, "COMPLETE", 1.0)},
        "known": endpoint_list(5, true, hosts), "settings": settings})
}

/// Sets long timeouts of requests and connections, so that a test can act meanwhile on a busy machine.
///
/// # Panics
/// The configuration has no classes.
pub fn use_long_timeouts(config: &mut Value) {
    config["settings"]["permissions"]["dial-timeout-s"] = json!(60.0);
    let classes = config["settings"]["classes"].as_array_mut();
    for class in classes.expect("a configuration with classes") {
        class["aim-s"] = json!(30.0);
        class["hard-limit-s"] = json!(60.0);
    }
}

/// Numbers the configuration files of this process.
static STARTED: AtomicU32 = AtomicU32::new(0);

/// A gateway as a child process.
pub struct GatewayProcess {
    /// The child.
    pub child: Child,
    /// The lines of its log so far.
    pub log: Log,
    /// While set, reading of its log is paused.
    pub log_paused: Arc<AtomicBool>,
    /// The path of its configuration.
    pub config_path: String,
}

/// Starts a gateway with a configuration.
///
/// # Panics
/// The configuration cannot be written, or the program cannot be started.
pub fn spawn_gateway(config: &str) -> GatewayProcess {
    let number = STARTED.fetch_add(1, SeqCst);
    let folder = std::env::temp_dir();
    let config_path = format!("{}/latchhaven-{}-{number}.json", folder.display(), std::process::id());
    std::fs::write(&config_path, config).expect("the configuration is written");
    // Both output streams go to one pipe, so that their lines are in one log.
    let mut command = Command::new("/bin/sh");
    command.args(["-c", "exec \"$0\" 1>&2"]).arg(program());
    command.env_clear().env("BALANCER_CONFIG", &config_path);
    // The environment variable repeats the value of the file, as in deployments.
    if let Some(discovery) = configured_discovery(config) {
        command.env("BALANCER_DISCOVERY", discovery);
    }
    let mut child = command.stderr(Stdio::piped()).spawn().expect("the program starts");
    let reader = read_log(&mut child);
    GatewayProcess { child, log: reader.log, log_paused: reader.paused, config_path }
}

fn configured_discovery(config: &str) -> Option<String> {
    let config: Value = serde_json::from_str(config).ok()?;
    config["discovery"].as_str().map(str::to_string)
}

/// A gateway, and the fakes around it.
pub struct Gateway {
    process: GatewayProcess,
    /// Its configuration.
    pub config: Value,
    /// The path of its configuration.
    pub path: String,
    /// While set, reading of its log is paused.
    pub log_paused: Arc<AtomicBool>,
    /// The address that it listens on.
    pub addr: SocketAddr,
    /// Service discovery.
    pub discovery: FakeHttpService,
    /// The platform.
    pub platform: FakeHttpService,
}

impl Gateway {
    /// Starts a gateway for these servers.
    ///
    /// # Panics
    /// It does not listen within [`crate::wait::MAX_WAIT`].
    pub fn start(servers: &[&FakeServer]) -> Self {
        Self::start_with(servers, |_| ())
    }

    /// Starts a gateway with a changed configuration.
    ///
    /// # Panics
    /// It does not listen within [`crate::wait::MAX_WAIT`].
    pub fn start_with(servers: &[&FakeServer], change: impl FnOnce(&mut Value)) -> Self {
        let platform = start_feed(&rollout_state(1, 0, "COMPLETE", 1.0), |_| HttpReply::Nothing);
        Self::start_with_platform(servers, platform, change)
    }

    /// Starts a gateway with another platform and a changed configuration.
    ///
    /// # Panics
    /// It does not listen within [`crate::wait::MAX_WAIT`].
    pub fn start_with_platform(
        servers: &[&FakeServer], platform: FakeHttpService, change: impl FnOnce(&mut Value),
    ) -> Self {
        let discovery = FakeHttpService::start(|_| HttpReply::stream(""));
        let hosts = servers.iter().enumerate();
        let hosts: Vec<Value> =
            hosts.map(|(index, server)| host(&format!("s{index}"), server.addr, "up", 1)).collect();
        let mut config = gateway_config(&hosts, discovery.addr, platform.addr);
        change(&mut config);
        let process = spawn_gateway(&config.to_string());
        let addr = wait_for_address(&process.log);
        let path = process.config_path.clone();
        let log_paused = process.log_paused.clone();
        Gateway { process, config, path, log_paused, addr, discovery, platform }
    }

    /// As [`Self::start_with`], then waits until the gateway watches the endpoint list.
    ///
    /// # Panics
    /// It does not listen or watch within [`crate::wait::MAX_WAIT`].
    pub fn start_watching(servers: &[&FakeServer], change: impl FnOnce(&mut Value)) -> Self {
        let gateway = Self::start_with(servers, change);
        wait_until("the list is watched", || {
            gateway.discovery.count_calls_containing("GET /v1/servers?watch=1&after=5 ") == 1
        });
        gateway
    }

    /// A client that has finished its startup.
    ///
    /// # Panics
    /// The gateway is not ready for a query.
    pub fn client(&self) -> Client {
        let mut client = Client::connect(self.addr);
        client.send(&startup());
        assert_eq!(client.read_response().last().map(|message| message.kind), Some(b'Z'));
        client
    }

    /// The number of lines of its log that contain this.
    pub fn count_logged(&self, part: &str) -> usize {
        lock(&self.process.log).iter().filter(|line| line.contains(part)).count()
    }

    /// True if a line of its log contains this.
    pub fn logged(&self, part: &str) -> bool {
        self.count_logged(part) > 0
    }

    /// Sends it a signal.
    ///
    /// # Panics
    /// The signal cannot be sent.
    pub fn signal(&self, name: &str) {
        assert!(send_signal(self.pid(), name), "the signal {name} is sent");
    }

    /// Replaces its configuration file, and sends SIGHUP.
    ///
    /// # Panics
    /// The file cannot be written, or the signal cannot be sent.
    pub fn reconfigure(&self, text: &str) {
        std::fs::write(&self.path, text).expect("the configuration is written");
        self.signal("HUP");
    }

    /// The current value of a counter.
    ///
    /// # Panics
    /// There is no such counter, or the counters are not printed within [`crate::wait::MAX_WAIT`].
    pub fn counter(&self, name: &str) -> u64 {
        let printed_before = self.count_logged("counters:");
        self.signal("USR1");
        wait_until("the counters are printed", || self.count_logged("counters:") > printed_before);
        let log = lock(&self.process.log);
        let line = log.iter().rfind(|line| line.contains("counters:")).expect("printed above");
        let value = line.split(&format!(" {name}=")).nth(1).and_then(|rest| rest.split(' ').next());
        let value = value.and_then(|value| value.parse().ok());
        value.unwrap_or_else(|| panic!("{name} in {line}"))
    }

    /// Waits until it exits, and returns its exit code.
    ///
    /// # Panics
    /// It does not exit within [`crate::wait::MAX_WAIT`].
    pub fn wait_for_exit(&mut self) -> Option<i32> {
        let mut status = None;
        wait_until("the gateway ends", || {
            status = self.process.child.try_wait().expect("a child can be waited for");
            status.is_some()
        });
        status.and_then(|status| status.code())
    }

    /// True while it runs.
    ///
    /// # Panics
    /// The child cannot be waited for.
    pub fn is_alive(&mut self) -> bool {
        self.process.child.try_wait().expect("a child can be waited for").is_none()
    }

    /// Its process id.
    pub fn pid(&self) -> u32 {
        self.process.child.id()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.process.child.kill();
        let _ = self.process.child.wait();
    }
}

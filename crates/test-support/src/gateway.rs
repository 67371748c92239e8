//! A gateway as a child process, with a fake service discovery and a fake platform.

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

/// The version of the endpoint list in the configuration.
const INITIAL_LIST_VERSION: u64 = 5;

/// The configuration of a gateway with this endpoint list, whose only version is completely rolled out. Tests change it
/// before the start.
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
        "known": endpoint_list(INITIAL_LIST_VERSION, true, hosts), "settings": settings})
}

/// Sets timeouts of requests and connections that do not expire before a test has acted, even on a busy machine.
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

/// Gateways started by this process; numbers their configuration files.
static STARTED_GATEWAYS: AtomicU32 = AtomicU32::new(0);

/// A gateway as a child process. Dropping this value does not terminate the process.
pub struct GatewayProcess {
    /// The process, whose standard error is a pipe that is read into `log`.
    pub child: Child,
    /// The lines logged so far.
    pub log: Log,
    /// While `true`, no further lines of the log are read, so that the pipe fills up.
    pub log_paused: Arc<AtomicBool>,
    /// The path of the configuration file, which is in the folder for temporary files.
    pub config_path: String,
}

/// Writes a configuration to a new file and starts a gateway with it. Does not wait until the gateway listens.
///
/// # Panics
/// The configuration cannot be written, or the program cannot be started.
pub fn spawn_gateway(config: &str) -> GatewayProcess {
    let number = STARTED_GATEWAYS.fetch_add(1, SeqCst);
    let folder = std::env::temp_dir();
    let config_path = format!("{}/latchhaven-{}-{number}.json", folder.display(), std::process::id());
    std::fs::write(&config_path, config).expect("the configuration file is writable");
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

/// A gateway with a fake service discovery and a fake platform. Its process is killed when this value is dropped.
pub struct Gateway {
    process: GatewayProcess,
    /// The configuration that the gateway was started with.
    pub config: Value,
    /// The path of the configuration file.
    pub path: String,
    /// While `true`, no further lines of the log are read, so that the pipe fills up.
    pub log_paused: Arc<AtomicBool>,
    /// The address on which the gateway accepts clients.
    pub addr: SocketAddr,
    /// Service discovery, which replies to each call with a stream that begins with an empty line: the endpoint list of
    /// the configuration is confirmed, not replaced.
    pub discovery: FakeHttpService,
    /// The platform, which receives the gateway's votes.
    pub platform: FakeHttpService,
}

impl Gateway {
    /// Starts a gateway for these servers, which are listed as ready with version 1, and waits until it listens.
    ///
    /// # Panics
    /// The gateway does not listen within [`crate::wait::MAX_WAIT`].
    pub fn start(servers: &[&FakeServer]) -> Self {
        Self::start_with(servers, |_| ())
    }

    /// As [`Self::start`], with a configuration that `change` has modified.
    ///
    /// # Panics
    /// The gateway does not listen within [`crate::wait::MAX_WAIT`].
    pub fn start_with(servers: &[&FakeServer], change: impl FnOnce(&mut Value)) -> Self {
        let platform = start_feed(&rollout_state(1, 0, "COMPLETE", 1.0), |_| HttpReply::Nothing);
        Self::start_with_platform(servers, platform, change)
    }

    /// As [`Self::start_with`], with a platform that the caller has started.
    ///
    /// # Panics
    /// The gateway does not listen within [`crate::wait::MAX_WAIT`].
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
    /// The gateway does not listen or does not watch the list within [`crate::wait::MAX_WAIT`].
    pub fn start_watching(servers: &[&FakeServer], change: impl FnOnce(&mut Value)) -> Self {
        let gateway = Self::start_with(servers, change);
        let watch_call = format!("GET /v1/servers?watch=1&after={INITIAL_LIST_VERSION} ");
        wait_until("the list is watched", || gateway.discovery.count_calls_containing(&watch_call) == 1);
        gateway
    }

    /// Connects a client and completes its startup.
    ///
    /// # Panics
    /// The gateway does not report that it is ready for a query.
    pub fn client(&self) -> Client {
        let mut client = Client::connect(self.addr);
        client.send(&startup());
        assert_eq!(client.read_response().last().map(|message| message.kind), Some(b'Z'));
        client
    }

    /// The number of lines logged so far that contain `part`.
    pub fn count_logged(&self, part: &str) -> usize {
        lock(&self.process.log).iter().filter(|line| line.contains(part)).count()
    }

    /// Returns `true` if a line logged so far contains `part`.
    pub fn logged(&self, part: &str) -> bool {
        self.count_logged(part) > 0
    }

    /// Sends a signal, such as `TERM`, to the gateway.
    ///
    /// # Panics
    /// The signal cannot be sent.
    pub fn signal(&self, name: &str) {
        assert!(send_signal(self.pid(), name), "the signal {name} could not be sent");
    }

    /// Replaces the configuration file, and sends SIGHUP, so that the gateway reloads it.
    ///
    /// # Panics
    /// The file cannot be written, or the signal cannot be sent.
    pub fn reconfigure(&self, text: &str) {
        std::fs::write(&self.path, text).expect("the configuration file is writable");
        self.signal("HUP");
    }

    /// The current value of a counter, which the gateway prints on SIGUSR1.
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
        value.unwrap_or_else(|| panic!("no counter {name} in {line}"))
    }

    /// Waits until the gateway exits, and returns its exit code; `None` if a signal terminated it.
    ///
    /// # Panics
    /// The gateway does not exit within [`crate::wait::MAX_WAIT`].
    pub fn wait_for_exit(&mut self) -> Option<i32> {
        let mut status = None;
        wait_until("the gateway exits", || {
            status = self.process.child.try_wait().expect("the exit status of a child process can be read");
            status.is_some()
        });
        status.and_then(|status| status.code())
    }

    /// Returns `true` if the gateway has not exited.
    ///
    /// # Panics
    /// The exit status cannot be read.
    pub fn is_alive(&mut self) -> bool {
        self.process.child.try_wait().expect("the exit status of a child process can be read").is_none()
    }

    /// The memory of the process in bytes, without pages of files.
    ///
    /// # Panics
    /// The process has ended.
    pub fn memory_bytes(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid()));
        let status = status.expect("the process is running");
        let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
        let kib = line.and_then(|line| line.trim().strip_suffix(" kB")?.parse::<usize>().ok());
        kib.expect("a number of KiB") * 1024
    }

    /// The process id of the gateway.
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

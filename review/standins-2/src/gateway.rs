//! The project's program as a process of its own, started with the line `run` of the deploy file.

use crate::record::note;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

/// The option of `prctl` by which a process gets a signal when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// The process; it is killed when this value is dropped.
pub struct Gateway {
    pub child: Child,
    pub addr: SocketAddr,
    pub folder: PathBuf,
}

pub fn root() -> PathBuf {
    PathBuf::from(std::env::var("ROOT").unwrap_or_else(|_| ".".to_string()))
}

/// The value of `run` in the deploy file.
fn run_line() -> io::Result<String> {
    let text = std::fs::read_to_string(root().join("deploy/balancer.toml"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("run")?.trim_start().strip_prefix('='));
    let line = line.and_then(|line| line.split('"').nth(1));
    line.map(str::to_string).ok_or_else(|| io::Error::other("deploy/balancer.toml has no line run"))
}

/// An address on loopback with a port that is free now.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port on loopback");
    listener.local_addr().expect("the address of a listener")
}

/// Everything that a gateway is told, but for `settings`.
pub struct Told {
    pub discovery: SocketAddr,
    pub platform: SocketAddr,
    /// The rollout's state and the list at the start, as JSON.
    pub news: String,
    pub known: String,
    pub settings: String,
    pub memory_mb: u32,
    pub sockets: u32,
    pub seed: u64,
}

/// Starts a command line from the root. What it writes goes to a file in the folder for temporary files.
fn spawn(line: &str, variables: &[(&str, String)], log: &str) -> io::Result<Child> {
    let folder = work();
    let log = std::fs::OpenOptions::new().create(true).append(true).open(folder.join(log))?;
    let mut command = Command::new("/bin/sh");
    command.args(["-c", line]).current_dir(root()).stdin(Stdio::null()).env("TMPDIR", &folder);
    for (name, value) in variables {
        command.env(name, value);
    }
    if let Ok(level) = std::env::var("GATEWAY_LOG") {
        command.env("LATCHHAVEN_LOG", level);
    }
    command.stdout(log.try_clone()?).stderr(log);
    // SAFETY: `prctl` with these integers is a plain system call. The process ends with this program, whatever ends that.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
            Ok(())
        })
    };
    command.spawn()
}

/// The folder for temporary files.
pub fn work() -> PathBuf {
    PathBuf::from(std::env::var("WORK").unwrap_or_else(|_| "/tmp".to_string()))
}

/// A control service with this file; it is killed when this value is dropped.
pub struct ControlService {
    child: Child,
}

impl ControlService {
    pub fn start(file: &std::path::Path) -> io::Result<Self> {
        let line = format!("{} control {}", run_line()?, file.display());
        let child = spawn(&line, &[], "control.log")?;
        note(format!("control service: started with '{} control FILE'", run_line()?));
        Ok(ControlService { child })
    }

    /// A planned restart: SIGTERM, and the end of the process.
    pub fn stop(mut self) -> Option<()> {
        // SAFETY: `kill` takes two integers; the process is a child that was not waited for.
        unsafe { kill(self.child.id() as i32, SIGTERM) };
        let status = self.child.wait().ok()?;
        note(format!("control service: ended after SIGTERM, {status}"));
        Some(())
    }
}

impl Drop for ControlService {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Gateway {
    pub fn start(told: &Told) -> io::Result<Self> {
        let addr = free_address();
        let folder = work();
        let config = format!(
            r#"{{"name":"n0","listen":"{addr}","discovery":"{}","seed":"{:016x}","limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"pipeline":{{"address":"{}","news":{}}},"known":{},"settings":{}}}"#,
            told.discovery,
            told.seed,
            told.memory_mb,
            told.sockets,
            told.platform,
            told.news,
            told.known,
            told.settings
        );
        let path = folder.join("config.json");
        std::fs::write(&path, config)?;
        let run = run_line()?;
        let variables = [
            ("BALANCER_CONFIG", path.display().to_string()),
            ("BALANCER_NAME", "n0".to_string()),
            ("BALANCER_LISTEN", addr.to_string()),
            ("BALANCER_DISCOVERY", told.discovery.to_string()),
        ];
        let child = spawn(&run, &variables, "gateway.log")?;
        note(format!("gateway: started with '{run}' at {addr}"));
        Ok(Gateway { child, addr, folder })
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: `kill` takes two integers; the process is a child that was not waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    pub fn exit_status(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    /// A figure of the process's memory in KiB, such as `VmHWM` or `RssAnon`.
    pub fn memory_kib(&self, name: &str) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(':'))?;
        line.split_whitespace().next()?.parse().ok()
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("gateway.log")).unwrap_or_default()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.signal(SIGCONT);
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

//! The program as a child process: its log, counters, and resource usage as the kernel counts it.

use crate::lock;
use crate::wait::wait_until;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// Ticks of CPU time in one second.
const TICKS_PER_SECOND: f64 = 100.0;
/// KiB in one MiB.
const KIB_PER_MIB: f64 = 1024.0;
/// The fields of `/proc/PID/stat` with the CPU time in user and in system mode, counted after the command.
const CPU_TIME_FIELDS: [usize; 2] = [11, 12];
/// Time between two checks whether a paused log is read again.
const PAUSE_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// The program next to this one: tests are in a folder below it, other binaries beside it.
///
/// # Panics
/// It was not built.
pub fn program() -> PathBuf {
    let this_program = std::env::current_exe().expect("a path of its own");
    let mut folders = this_program.ancestors().skip(1).take(2).map(|folder| folder.join("latchhaven"));
    folders.find(|path| path.is_file()).expect("the program latchhaven is built first")
}

/// The lines that a child has logged so far.
pub type Log = Arc<Mutex<Vec<String>>>;

/// The log of a child, read on a thread of its own.
pub struct LogReader {
    /// The lines so far.
    pub log: Log,
    /// While set, nothing more is read.
    pub paused: Arc<AtomicBool>,
}

/// Reads what a child logs to its standard error.
///
/// # Panics
/// The child's standard error is no pipe.
pub fn read_log(child: &mut Child) -> LogReader {
    let lines = BufReader::new(child.stderr.take().expect("a pipe")).lines();
    let log = Log::default();
    let paused = Arc::new(AtomicBool::new(false));
    let filled_log = log.clone();
    let reader_paused = paused.clone();
    thread::spawn(move || {
        for line in lines.map_while(Result::ok) {
            lock(&filled_log).push(line);
            while reader_paused.load(SeqCst) {
                thread::sleep(PAUSE_POLL_INTERVAL);
            }
        }
    });
    LogReader { log, paused }
}

/// Waits until a child logs where it listens.
///
/// # Panics
/// It does not in time.
pub fn wait_for_address(log: &Log) -> SocketAddr {
    let mut addr = None;
    wait_until("the program listens", || {
        addr = lock(log).iter().find_map(|line| listening_address(line));
        addr.is_some()
    });
    addr.expect("found above")
}

fn listening_address(line: &str) -> Option<SocketAddr> {
    line.split("listening=").nth(1)?.split(' ').next()?.parse().ok()
}

/// Sends a signal to a process; true where it was sent.
pub fn send_signal(process: u32, name: &str) -> bool {
    let status = Command::new("kill").args([&format!("-{name}"), &process.to_string()]).status();
    status.is_ok_and(|status| status.success())
}

/// CPU time and memory of a process.
#[derive(Clone, Copy, Debug)]
pub struct ResourceUsage {
    /// CPU time so far, in seconds.
    pub cpu_seconds: f64,
    /// The most memory that was resident, in MiB.
    pub peak_memory_mib: f64,
}

/// A control service as a child process that ends with its owner.
pub struct Process {
    child: Child,
    log: Log,
    /// Where it listens.
    pub addr: SocketAddr,
}

impl Process {
    /// Starts a control service from its configuration file.
    ///
    /// # Panics
    /// It does not listen in time.
    pub fn start_control(config: &Path) -> Process {
        let mut command = Command::new(program());
        command.arg("control").arg(config).stderr(Stdio::piped()).stdout(Stdio::null());
        let mut child = command.spawn().expect("the program starts");
        let log = read_log(&mut child).log;
        let addr = wait_for_address(&log);
        Process { child, log, addr }
    }

    fn log(&self) -> MutexGuard<'_, Vec<String>> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Lines of its log that contain this.
    pub fn logged(&self, part: &str) -> Vec<String> {
        self.log().iter().filter(|line| line.contains(part)).cloned().collect()
    }

    /// Sends it a signal.
    pub fn signal(&self, name: &str) {
        send_signal(self.child.id(), name);
    }

    /// Its counters, as printed now: names and values.
    pub fn counters(&self) -> Vec<(String, u64)> {
        let printed_before = self.logged("counters").len();
        self.signal("USR1");
        wait_until("the counters are printed", || self.logged("counters").len() > printed_before);
        let line = self.logged("counters").pop().unwrap_or_default();
        let pairs = line.split(' ').filter_map(|pair| pair.split_once('='));
        pairs.filter_map(|(name, value)| Some((name.to_string(), value.parse().ok()?))).collect()
    }

    /// What it has used so far; zeros where the kernel does not tell.
    pub fn resource_usage(&self) -> ResourceUsage {
        let read = |name: &str| std::fs::read_to_string(format!("/proc/{}/{name}", self.child.id()));
        ResourceUsage {
            cpu_seconds: parse_cpu_seconds(&read("stat").unwrap_or_default()),
            peak_memory_mib: parse_peak_memory_mib(&read("status").unwrap_or_default()).unwrap_or(0.0),
        }
    }

    /// Kills it at once, as a power loss would.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn parse_cpu_seconds(stat: &str) -> f64 {
    let after_command = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after_command.split_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|field| field.parse::<f64>().ok()).unwrap_or(0.0);
    CPU_TIME_FIELDS.map(ticks).iter().sum::<f64>() / TICKS_PER_SECOND
}

fn parse_peak_memory_mib(status: &str) -> Option<f64> {
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
    let kib: f64 = peak.trim().split(' ').next()?.parse().ok()?;
    Some(kib / KIB_PER_MIB)
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

//! The program as a child process: its log, counters, and resource usage as reported by the kernel.

use crate::wait::wait_until;
use crate::{lock, lock_ignoring_poison};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

/// The unit of CPU time in `/proc/PID/stat`, `USER_HZ`.
const TICKS_PER_SECOND: f64 = 100.0;
const KIB_PER_MIB: f64 = 1024.0;
/// The fields of `/proc/PID/stat` with the CPU time in user and in system mode, counted after the command.
const CPU_TIME_FIELDS: [usize; 2] = [11, 12];
const LOG_RESUME_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// The path of the program `latchhaven`: in the folder of the running executable, or in the folder above it, because
/// Cargo builds test executables one folder below the programs.
///
/// # Panics
/// The program was not built.
pub fn program() -> PathBuf {
    let this_program = std::env::current_exe().expect("the path of the running executable");
    let mut folders = this_program.ancestors().skip(1).take(2).map(|folder| folder.join("latchhaven"));
    folders.find(|path| path.is_file()).expect("the program latchhaven was not built")
}

/// The lines that a child process has logged so far.
pub type Log = Arc<Mutex<Vec<String>>>;

/// The log of a child process, which a separate thread reads.
pub struct LogReader {
    /// The lines read so far.
    pub log: Log,
    /// While `true`, no further lines are read, so that the pipe fills up.
    pub paused: Arc<AtomicBool>,
}

/// Starts a thread that reads the log of a child process from its standard error.
///
/// # Panics
/// The child's standard error is not a pipe.
pub fn read_log(child: &mut Child) -> LogReader {
    let lines = BufReader::new(child.stderr.take().expect("standard error is a pipe")).lines();
    let log = Log::default();
    let paused = Arc::new(AtomicBool::new(false));
    let filled_log = log.clone();
    let reader_paused = paused.clone();
    thread::spawn(move || {
        for line in lines.map_while(Result::ok) {
            lock(&filled_log).push(line);
            while reader_paused.load(SeqCst) {
                thread::sleep(LOG_RESUME_POLL_INTERVAL);
            }
        }
    });
    LogReader { log, paused }
}

/// Waits until a child process logs its listening address.
///
/// # Panics
/// No address is logged within [`crate::wait::MAX_WAIT`].
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

/// Sends a signal, such as `TERM`, to the process of this id. Returns `true` if it was sent.
pub fn send_signal(process: u32, name: &str) -> bool {
    let status = Command::new("kill").args([&format!("-{name}"), &process.to_string()]).status();
    status.is_ok_and(|status| status.success())
}

/// CPU time and memory of a process, as reported by the kernel.
#[derive(Clone, Copy, Debug)]
pub struct ResourceUsage {
    /// CPU time in user and system mode so far.
    pub cpu_seconds: f64,
    /// The highest resident memory so far.
    pub peak_memory_mib: f64,
}

/// A control service as a child process, which is killed when this value is dropped.
pub struct Process {
    child: Child,
    log: Log,
    /// The listening address of its xDS service.
    pub addr: SocketAddr,
}

impl Process {
    /// Starts a control service from its configuration file, and waits until it listens.
    ///
    /// # Panics
    /// The program cannot be started, or does not listen within [`crate::wait::MAX_WAIT`].
    pub fn start_control(config: &Path) -> Process {
        let mut command = Command::new(program());
        command.arg("control").arg(config).stderr(Stdio::piped()).stdout(Stdio::null());
        let mut child = command.spawn().expect("the program starts");
        let log = read_log(&mut child).log;
        let addr = wait_for_address(&log);
        Process { child, log, addr }
    }

    fn log(&self) -> MutexGuard<'_, Vec<String>> {
        lock_ignoring_poison(&self.log)
    }

    /// The lines logged so far that contain `part`.
    pub fn logged(&self, part: &str) -> Vec<String> {
        self.log().iter().filter(|line| line.contains(part)).cloned().collect()
    }

    /// Sends a signal, such as `TERM`. No error is reported if the process has exited.
    pub fn signal(&self, name: &str) {
        send_signal(self.child.id(), name);
    }

    /// Names and values of the current counters, which the process prints on SIGUSR1.
    ///
    /// # Panics
    /// The counters are not printed within [`crate::wait::MAX_WAIT`].
    pub fn counters(&self) -> Vec<(String, u64)> {
        let printed_before = self.logged("counters").len();
        self.signal("USR1");
        wait_until("the counters are printed", || self.logged("counters").len() > printed_before);
        let line = self.logged("counters").pop().unwrap_or_default();
        let pairs = line.split(' ').filter_map(|pair| pair.split_once('='));
        pairs.filter_map(|(name, value)| Some((name.to_string(), value.parse().ok()?))).collect()
    }

    /// The resource usage so far; zeros if the kernel does not report it, as after the exit.
    pub fn resource_usage(&self) -> ResourceUsage {
        let read = |name: &str| std::fs::read_to_string(format!("/proc/{}/{name}", self.child.id()));
        ResourceUsage {
            cpu_seconds: parse_cpu_seconds(&read("stat").unwrap_or_default()),
            peak_memory_mib: parse_peak_memory_mib(&read("status").unwrap_or_default()).unwrap_or(0.0),
        }
    }

    /// Sends SIGKILL and waits for the exit.
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

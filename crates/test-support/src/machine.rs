//! The program as a child: started, read from, killed; its CPU and memory as the kernel counts them.

use crate::wire::{Log, listening, logged, program, until};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::PoisonError;

/// Ticks a second in which the kernel counts CPU time.
const TICKS: f64 = 100.0;

/// A child that is ended with its owner.
pub struct Machine {
    child: Child,
    log: Log,
    pub addr: SocketAddr,
}

impl Machine {
    /// Starts a control service from a file.
    ///
    /// # Panics
    /// Where it does not listen in time.
    pub fn control(plan: &Path) -> Machine {
        let mut command = Command::new(program());
        command.arg("control").arg(plan).stderr(Stdio::piped()).stdout(Stdio::null());
        let mut child = command.spawn().expect("the program starts");
        let (log, _) = logged(&mut child);
        let addr = listening(&log);
        Machine { child, log, addr }
    }

    /// Lines that it has logged and that hold this.
    pub fn logged(&self, part: &str) -> Vec<String> {
        let log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        log.iter().filter(|line| line.contains(part)).cloned().collect()
    }

    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").args([&format!("-{name}"), &self.child.id().to_string()]).status();
    }

    /// Its counters, as printed now: each name with its figure.
    pub fn counters(&self) -> Vec<(String, u64)> {
        let before = self.logged("counters").len();
        self.signal("USR1");
        until("the counters are printed", || self.logged("counters").len() > before);
        let line = self.logged("counters").pop().unwrap_or_default();
        let pairs = line.split(' ').filter_map(|pair| pair.split_once('='));
        pairs.filter_map(|(name, figure)| Some((name.to_string(), figure.parse().ok()?))).collect()
    }

    /// CPU seconds so far, and the most memory that it held, in MiB.
    pub fn used(&self) -> (f64, f64) {
        let read = |name: &str| std::fs::read_to_string(format!("/proc/{}/{name}", self.child.id()));
        let stat = read("stat").unwrap_or_default();
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let ticks = |n: usize| fields.get(n).and_then(|field| field.parse::<f64>().ok()).unwrap_or(0.0);
        let status = read("status").unwrap_or_default();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let peak = peak.and_then(|rest| rest.trim().split(' ').next()?.parse::<f64>().ok()).unwrap_or(0.0);
        ((ticks(11) + ticks(12)) / TICKS, peak / 1024.0)
    }

    /// Ends it at once, as a power loss would.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

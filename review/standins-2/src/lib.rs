//! Stand-ins of instances, discovery, the platform and clients, written from the operators' protocol page with the standard library
//! only. Each case has a program of its own in `src/bin`.

pub mod client;
pub mod discovery;
pub mod gateway;
pub mod http;
pub mod instance;
pub mod link;
pub mod pg;
pub mod platform;
pub mod record;
pub mod settings;
pub mod xds;

use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

static START: OnceLock<Instant> = OnceLock::new();

/// Milliseconds since the first call in this process.
pub fn now_ms() -> f64 {
    START.get_or_init(Instant::now).elapsed().as_secs_f64() * 1000.0
}

/// Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

pub fn sleep_ms(ms: f64) {
    if ms > 0.0 {
        std::thread::sleep(Duration::from_secs_f64(ms / 1000.0));
    }
}

/// Sleeps until `now_ms()` is `at`.
pub fn sleep_until(at: f64) {
    sleep_ms(at - now_ms());
}

/// A small generator of random numbers (xorshift), so that a run's plan depends on its seed only.
pub struct Rng(pub u64);

impl Rng {
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    /// From 0 up to, not including, 1.
    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// How a case ended; the exit code of its script.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

impl Verdict {
    pub fn code(&self) -> i32 {
        match self {
            Verdict::Held => 0,
            Verdict::Broken => 1,
            Verdict::CouldNotRun => 2,
        }
    }
}

/// `false` with `TROUBLE=0`: the run is the same without the disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Runs a case, which ends after `limit_ms` at the latest, writes why it could not run, and exits with its verdict.
pub fn run_case(limit_ms: f64, run: impl FnOnce() -> Result<Verdict, String>) -> ! {
    now_ms();
    std::thread::spawn(move || {
        sleep_ms(limit_ms);
        println!("could not run: not over within {limit_ms} ms");
        record::write("could not run: out of time");
        std::process::exit(Verdict::CouldNotRun.code());
    });
    let verdict = run().unwrap_or_else(|reason| {
        println!("could not run: {reason}");
        record::write(&format!("could not run: {reason}"));
        Verdict::CouldNotRun
    });
    std::process::exit(verdict.code());
}

/// Records each query at the instances and each answer to the clients.
pub fn record_traffic(arrivals: &[instance::Arrival], outcomes: &[client::Outcome]) {
    for arrival in arrivals {
        let end = match (arrival.is_turned_away, arrival.served_at) {
            (true, _) => "turned away".to_string(),
            (false, Some(at)) => format!("answered at {at:.1}"),
            (false, None) => "taken, not answered".to_string(),
        };
        let line = format!("{} gets {} {} item {}: {end}", arrival.instance, arrival.id, arrival.class, arrival.item);
        record::note_at(arrival.at, line);
    }
    for outcome in outcomes {
        let answer = match &outcome.answer {
            client::Answer::Served(value) => format!("served '{}'", String::from_utf8_lossy(&value[..value.len().min(40)])),
            other => format!("{other:?}"),
        };
        record::note_at(outcome.sent_at, format!("client sends {}: at {:.1} {answer}", outcome.id, outcome.answered_at));
    }
}

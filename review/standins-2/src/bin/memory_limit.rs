//! The traffic jumps for some seconds: does the gateway stay below its memory limit?

use review_standins_2::client::{Answer, Ask, Clients};
use review_standins_2::discovery::{Discovery, Host};
use review_standins_2::gateway::{Gateway, SIGKILL, Told};
use review_standins_2::instance::{Arrivals, Behavior, Instance};
use review_standins_2::platform::{Platform, Rollout};
use review_standins_2::record::{self, note};
use review_standins_2::{Rng, Verdict, has_trouble, now_ms, record_traffic, run_case, settings, sleep_ms, sleep_until, unix_ms};
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};

const MEMORY_MB: u32 = 32;
const SOCKETS: u32 = 1024;
/// A third of the descriptors: as many connections as clients hold for requests at most.
const MOST_OPEN: usize = SOCKETS as usize / 3;
/// Requests a second, and the jump.
const USUAL: f64 = 240.0;
const JUMP: f64 = 2.5;
const JUMP_MS: std::ops::Range<f64> = 4000.0..11_000.0;
const END_MS: f64 = 14_000.0;

fn run() -> Result<Verdict, String> {
    let arrivals = Arrivals::default();
    let sites = ["kingston", "spanish-town", "old-harbour"];
    let work_ms = |class: &str| if class == "box-lookup" { 76.0 } else { 117.0 };
    let nodes: Vec<Instance> = (0..14)
        .map(|n| {
            let behavior = Behavior { slots: 2, returns_document: true, ..Behavior::sound(work_ms) };
            Instance::start(&format!("node-{n}"), 41, behavior, &arrivals)
        })
        .collect();
    let host = |(n, instance): (usize, &Instance)| Host {
        id: instance.name.clone(),
        dial: instance.addr,
        site: sites[n % 3].into(),
        kind: "small-2core".into(),
        health: "up".into(),
        born_ms: 0,
        release: 41,
    };
    let discovery = Discovery::start(nodes.iter().enumerate().map(host).collect());
    let rollout = Rollout { version: 41, step: 3, status: "COMPLETE", cap: 1.0, began: now_ms() };
    let platform = Platform::start(rollout.clone());
    let gateway = Gateway::start(&Told {
        discovery: discovery.addr,
        platform: platform.addr,
        news: rollout.json(),
        known: discovery.whole(),
        settings: settings::library(),
        memory_mb: MEMORY_MB,
        sockets: SOCKETS,
        seed: unix_ms(),
    })
    .map_err(|error| format!("the gateway did not start: {error}"))?;
    let clients = Clients::new(gateway.addr);
    if !clients.wait_until_ready(15_000.0) {
        return Err("the gateway was not ready within 15 s".into());
    }
    let start = now_ms();
    note("the run begins");

    // The machine: a gateway over its memory limit is killed. Memory that is backed by files is left out.
    let limit_kib = u64::from(MEMORY_MB) * 1024;
    let peak_kib = Arc::new(Mutex::new(0));
    let killed_at: Arc<Mutex<Option<f64>>> = Arc::default();
    let gateway = Arc::new(gateway);
    let machine = {
        let (gateway, peak_kib, killed_at) = (gateway.clone(), peak_kib.clone(), killed_at.clone());
        std::thread::spawn(move || {
            while now_ms() < start + END_MS {
                if let Some(kib) = gateway.memory_kib("RssAnon") {
                    let mut peak = peak_kib.lock().unwrap();
                    *peak = kib.max(*peak);
                    if kib > limit_kib {
                        note(format!("machine: the gateway has {kib} KiB of {limit_kib} KiB: killed"));
                        gateway.signal(SIGKILL);
                        *killed_at.lock().unwrap() = Some(now_ms());
                        return;
                    }
                }
                sleep_ms(2.0);
            }
        })
    };

    let mut rng = Rng(0x9e37_79b9_7f4a_7c15 ^ unix_ms());
    // The longest value that the protocol allows.
    let value = "5a".repeat(64 * 1024);
    let open = Arc::new(AtomicUsize::new(0));
    let mut most_open = 0;
    let mut threads = Vec::new();
    let mut number = 0u64;
    let mut at = 0.0;
    while at < END_MS && killed_at.lock().unwrap().is_none() {
        sleep_until(start + at);
        let factor = if has_trouble() && JUMP_MS.contains(&at) { JUMP } else { 1.0 };
        at += 1000.0 / (USUAL * factor) * (0.5 + rng.unit());
        if open.load(SeqCst) >= MOST_OPEN {
            continue;
        }
        number += 1;
        let draw = rng.unit();
        let (class, d, is_write) = if draw < 0.38 {
            ("box-lookup", 2000, false)
        } else if draw < 0.70 {
            ("log-fetch", 3000, true)
        } else {
            ("sample-loan", 3000, true)
        };
        let ask = Ask {
            id: format!("{number:x}"),
            class: class.into(),
            item: format!("box-{:x}", rng.next()),
            tenant: "consultants".into(),
            d,
            insert: is_write.then(|| (format!("{:016x}", rng.next()), value.clone())),
            hint: None,
        };
        most_open = most_open.max(open.fetch_add(1, SeqCst) + 1);
        let (clients, open) = (clients.clone(), open.clone());
        threads.push(std::thread::spawn(move || {
            clients.ask(&ask);
            open.fetch_sub(1, SeqCst);
        }));
    }
    threads.into_iter().for_each(|thread| drop(thread.join()));
    drop(machine.join());

    let arrivals = arrivals.lock().unwrap().clone();
    let outcomes = clients.outcomes.lock().unwrap().clone();
    record_traffic(&arrivals, &outcomes);
    let count = |is: fn(&Answer) -> bool| outcomes.iter().filter(|outcome| is(&outcome.answer)).count();
    let served = count(|answer| matches!(answer, Answer::Served(_)));
    let lost = count(|answer| matches!(answer, Answer::Lost | Answer::Nothing));
    let killed_at = *killed_at.lock().unwrap();
    let is_broken = killed_at.is_some();
    let summary = format!(
        "{}\nrequests {}, served {served}, refused or failed {}, without an answer {lost}; most open at a time {most_open}\n\
         most memory {} KiB of {limit_kib} KiB, without pages of files{}",
        if is_broken { "BROKEN: a gateway over its memory limit is killed, and loses what it has taken" } else { "held" },
        outcomes.len(),
        outcomes.len() - served - lost,
        peak_kib.lock().unwrap(),
        killed_at.map_or(String::new(), |at| format!("; killed {:.0} ms after the run began", at - start)),
    );
    println!("{summary}");
    record::write(&summary);
    if !is_broken && served * 3 < outcomes.len() {
        return Err("fewer than a third of the requests were served".into());
    }
    Ok(if is_broken { Verdict::Broken } else { Verdict::Held })
}

fn main() {
    run_case(60_000.0, run);
}

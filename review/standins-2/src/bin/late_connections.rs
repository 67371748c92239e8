//! New connections to the hosts take longer to set up: does the build on trial get more than its cap within a window?

use review_standins_2::client::{Answer, Ask, Clients};
use review_standins_2::discovery::{Discovery, Host};
use review_standins_2::gateway::{Gateway, Told};
use review_standins_2::instance::{Arrivals, Behavior, Instance, NO_LIMIT};
use review_standins_2::platform::{Platform, Rollout};
use review_standins_2::record::{self, note};
use review_standins_2::{Rng, Verdict, has_trouble, now_ms, record_traffic, run_case, settings, sleep_until, unix_ms};

/// The rule's figures in the settings, and what passes above them on sockets: 2 submissions and 4%.
const WINDOW_MS: f64 = 2000.0;
const ALLOWANCE: f64 = 1.0;
const CAP: f64 = 0.48;
const SLACK: f64 = 2.0;
const SLACK_FACTOR: f64 = 1.04;
/// The time of a request is known to the clients only: those sent this much earlier or later are counted as well.
const TOLERANCE_MS: f64 = 50.0;
/// Added to the set-up of new connections.
const LATE_BY_MS: f64 = 200.0;
/// Requests of one burst, and when bursts begin: two within little more than a window, then quiet until idle connections are closed.
const BURST: u64 = 60;
const BURSTS_AT: [f64; 4] = [0.0, 2080.0, 31_000.0, 33_080.0];

fn run() -> Result<Verdict, String> {
    let arrivals = Arrivals::default();
    let start_instance = |name: &str, release| {
        let late = if has_trouble() { LATE_BY_MS } else { 0.0 };
        let behavior = Behavior {
            startup_ms: Box::new(move |_| late),
            work_ms: Box::new(|_| 80.0),
            slots: NO_LIMIT,
            returns_document: false,
        };
        Instance::start(name, release, behavior, &arrivals)
    };
    let old: Vec<Instance> = (0..8).map(|n| start_instance(&format!("old-{n}"), 41)).collect();
    let new: Vec<Instance> = (0..6).map(|n| start_instance(&format!("new-{n}"), 42)).collect();
    let host = |(n, instance): (usize, &Instance)| Host {
        id: instance.name.clone(),
        dial: instance.addr,
        site: ["malaga", "welshpool"][n % 2].into(),
        kind: "std-3c".into(),
        health: "up".into(),
        born_ms: if instance.release == 42 { unix_ms() - 30_000 } else { 0 },
        release: instance.release,
    };
    let hosts = old.iter().enumerate().chain(new.iter().enumerate()).map(host).collect();
    let discovery = Discovery::start(hosts);
    let rollout = Rollout { version: 42, step: 2, status: "IN_PROGRESS", cap: CAP, began: now_ms() };
    let platform = Platform::start(rollout.clone());
    let gateway = Gateway::start(&Told {
        discovery: discovery.addr,
        platform: platform.addr,
        news: rollout.json(),
        known: discovery.whole(),
        settings: settings::pharmacy(),
        memory_mb: 64,
        sockets: 1024,
        seed: unix_ms(),
    })
    .map_err(|error| format!("the gateway did not start: {error}"))?;
    let clients = Clients::new(gateway.addr);
    if !clients.wait_until_ready(15_000.0) {
        return Err("the gateway was not ready within 15 s".into());
    }
    let start = now_ms();
    note("the run begins");
    let mut rng = Rng(0x9e37_79b9_7f4a_7c15 ^ unix_ms());
    let mut plan = Vec::new();
    for begin in BURSTS_AT {
        for n in 0..BURST {
            let ask = Ask {
                id: format!("{:016x}", plan.len() + 1),
                class: "repeat-check".into(),
                item: format!("p{:x}", rng.next() & 0xffff_ffff),
                tenant: "swan-coast".into(),
                d: 3000,
                insert: None,
                hint: None,
            };
            plan.push((begin + n as f64 * 0.5, Some(ask)));
        }
    }
    plan.extend((1..6).map(|n| (6000.0 * f64::from(n), None)));
    plan.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut threads = Vec::new();
    for (due, ask) in plan {
        sleep_until(start + due);
        match ask {
            Some(ask) => threads.push(clients.spawn(ask)),
            None => platform.tell(),
        }
    }
    threads.into_iter().for_each(|thread| drop(thread.join()));

    let arrivals = arrivals.lock().unwrap().clone();
    let outcomes = clients.outcomes.lock().unwrap().clone();
    record_traffic(&arrivals, &outcomes);
    let to_new: Vec<f64> = arrivals.iter().filter(|arrival| arrival.instance.starts_with("new-")).map(|arrival| arrival.at).collect();
    let mut worst = (f64::MIN, 0, 0, 0.0, 0.0);
    for at in &to_new {
        let submissions = to_new.iter().filter(|other| **other > at - WINDOW_MS && **other <= *at).count();
        let from = at - WINDOW_MS - TOLERANCE_MS;
        let taken = outcomes.iter().filter(|outcome| outcome.sent_at > from && outcome.sent_at <= at + TOLERANCE_MS).count();
        let passes = (ALLOWANCE + CAP * taken as f64) * SLACK_FACTOR + SLACK;
        let excess = submissions as f64 - passes;
        if excess > worst.0 {
            worst = (excess, submissions, taken, passes, at - start);
        }
    }
    let served = outcomes.iter().filter(|outcome| matches!(outcome.answer, Answer::Served(_))).count();
    let is_broken = worst.0 > 0.0;
    let (_, submissions, taken, passes, at) = worst;
    let summary = format!(
        "{}\nrequests {}, served {served}; submissions to the build on trial {}\n\
         worst window of {WINDOW_MS} ms, up to {at:.0} ms: {submissions} submissions to that build, {taken} txns taken, {passes:.1} pass",
        if is_broken { "BROKEN: exposure within the cap" } else { "held" },
        outcomes.len(),
        to_new.len(),
    );
    println!("{summary}");
    record::write(&summary);
    drop(gateway);
    if served * 2 < outcomes.len() {
        return Err("fewer than half of the requests were served".into());
    }
    Ok(if is_broken { Verdict::Broken } else { Verdict::Held })
}

fn main() {
    run_case(70_000.0, run);
}

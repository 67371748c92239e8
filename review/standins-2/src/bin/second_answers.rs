//! Some answers come a second time, some milliseconds late: does each client get the value made for its request, and does a
//! once-only txn run once?

use review_standins_2::client::{Answer, Ask, Clients};
use review_standins_2::discovery::{Discovery, Host};
use review_standins_2::gateway::{Gateway, Told};
use review_standins_2::instance::{Arrivals, Behavior, Instance};
use review_standins_2::link::Link;
use review_standins_2::platform::{Platform, Rollout};
use review_standins_2::record::{self, note};
use review_standins_2::{Rng, Verdict, has_trouble, now_ms, record_traffic, run_case, settings, sleep_until, unix_ms};
use std::collections::BTreeMap;
use std::sync::Mutex;

/// By how many ms a second copy of an answer is late.
const LATE_MS: std::ops::Range<f64> = 1.0..25.0;
/// One way, in ms: within the gateway's site, and to the other one.
const NEAR_MS: f64 = 0.2;
const FAR_MS: f64 = 2.4;
/// One answer in so many has a second copy.
const COPY_ONE_IN: f64 = 5.0;
/// One query in so many is turned away, in both runs: the traffic of other gateways fills the queue of its host.
const FULL_ONE_IN: f64 = 4.0;
const REQUESTS_A_SECOND: f64 = 220.0;
const END_MS: f64 = 80_000.0;

fn run() -> Result<Verdict, String> {
    let arrivals = Arrivals::default();
    let sites = ["malaga", "welshpool"];
    let hosts: Vec<(Instance, Link)> = (0..12u64)
        .map(|n| {
            let rng = Mutex::new(Rng((n + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ unix_ms()));
            let second_answer_ms = move || {
                let mut rng = rng.lock().unwrap();
                let has_copy = has_trouble() && rng.unit() < 1.0 / COPY_ONE_IN;
                has_copy.then(|| LATE_MS.start + (LATE_MS.end - LATE_MS.start) * rng.unit())
            };
            let rng = Mutex::new(Rng((n + 77).wrapping_mul(0x2545_f491_4f6c_dd1d) ^ unix_ms()));
            let is_full = move || rng.lock().unwrap().unit() < 1.0 / FULL_ONE_IN;
            let work_ms = |class: &str| if class == "repeat-check" || class == "place-order" { 30.0 } else { 60.0 };
            let behavior = Behavior {
                startup_ms: Box::new(|_| 1.0),
                second_answer_ms: Box::new(second_answer_ms),
                is_full: Box::new(is_full),
                ..Behavior::sound(work_ms)
            };
            let instance = Instance::start(&format!("host-{n}"), 41, behavior, &arrivals);
            let one_way = if n % 2 == 0 { NEAR_MS } else { FAR_MS };
            let link = Link::start(instance.addr, one_way, one_way);
            (instance, link)
        })
        .collect();
    let list = hosts.iter().enumerate().map(|(n, (instance, link))| Host {
        id: instance.name.clone(),
        dial: link.addr,
        site: sites[n % 2].into(),
        kind: "std-3c".into(),
        health: "up".into(),
        born_ms: 0,
        release: 41,
    });
    let discovery = Discovery::start(list.collect());
    let rollout = Rollout { version: 41, step: 3, status: "COMPLETE", cap: 1.0, began: now_ms() };
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
    let mut threads = Vec::new();
    let (mut at, mut number) = (0.0, 0u64);
    while at < END_MS {
        sleep_until(start + at);
        number += 1;
        let draw = rng.unit();
        let (class, d, is_write) = if draw < 0.44 {
            ("repeat-check", 3000, false)
        } else if draw < 0.67 {
            ("med-history", 5000, false)
        } else if draw < 0.85 {
            ("place-order", 1500, true)
        } else {
            ("take-payment", 4000, true)
        };
        threads.push(clients.spawn(Ask {
            id: format!("{number:x}"),
            class: class.into(),
            item: format!("p{:x}", rng.next() & 0xffff_ffff),
            tenant: "swan-coast".into(),
            d,
            insert: is_write.then(|| (format!("{:016x}", rng.next()), "9f03".to_string())),
            hint: None,
        }));
        at += 1000.0 / REQUESTS_A_SECOND * (0.2 + 1.6 * rng.unit());
    }
    threads.into_iter().for_each(|thread| drop(thread.join()));

    let arrivals = arrivals.lock().unwrap().clone();
    let outcomes = clients.outcomes.lock().unwrap().clone();
    record_traffic(&arrivals, &outcomes);
    let mut wrong: BTreeMap<&str, u32> = BTreeMap::new();
    let mut served = 0;
    for outcome in &outcomes {
        let Answer::Served(value) = &outcome.answer else { continue };
        served += 1;
        let value = String::from_utf8_lossy(value);
        if !value.starts_with(&format!("for {} by ", outcome.id)) {
            *wrong.entry(&outcome.class).or_default() += 1;
            record::note_at(outcome.answered_at, format!("BROKEN: the client of {} ({}) is served '{value}'", outcome.id, outcome.class));
        }
    }
    let total: u32 = wrong.values().sum();
    // A query that was not turned away has run. A once-only txn may be submitted again only if no earlier submission can have run.
    let mut runs: BTreeMap<&str, u32> = BTreeMap::new();
    let mut twice = 0;
    for arrival in arrivals.iter().filter(|arrival| arrival.class == "take-payment" && !arrival.is_turned_away) {
        let count = runs.entry(&arrival.id).or_default();
        *count += 1;
        if *count == 2 {
            twice += 1;
            record::note_at(arrival.at, format!("BROKEN: {} runs take-payment {} a second time", arrival.instance, arrival.id));
        }
    }
    let payments = runs.len();
    let summary = format!(
        "{}\nrequests {}, served {served}, of these with a value made for another client's request: {total} {wrong:?}\n\
         take-payments that ran {payments}, of these more than once: {twice}",
        match (twice > 0, total > 0) {
            (true, true) => "BROKEN: no effect happens twice; a client is served only the value made for its request",
            (true, false) => "BROKEN: no effect happens twice",
            (false, true) => "BROKEN: a client is served only the value made for its request",
            (false, false) => "held",
        },
        outcomes.len(),
    );
    println!("{summary}");
    record::write(&summary);
    drop(gateway);
    if served * 2 < outcomes.len() {
        return Err("fewer than half of the requests were served".into());
    }
    Ok(if total > 0 || twice > 0 { Verdict::Broken } else { Verdict::Held })
}

fn main() {
    run_case(110_000.0, run);
}

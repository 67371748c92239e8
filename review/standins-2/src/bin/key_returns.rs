//! A key that the new release has answered goes to an earlier one, because the query had been waiting for a connection.

use review_standins_2::client::{Answer, Ask, Clients};
use review_standins_2::discovery::{Discovery, Host};
use review_standins_2::gateway::{Gateway, Told};
use review_standins_2::instance::{Arrivals, Behavior, Instance};
use review_standins_2::platform::{Platform, Rollout};
use review_standins_2::record::{self, note};
use review_standins_2::{Rng, Verdict, has_trouble, now_ms, record_traffic, run_case, settings, sleep_until, unix_ms};
use std::collections::BTreeMap;

/// Every time limit is this much longer on sockets.
const SLACK_MS: f64 = 50.0;
/// Added to the set-up of new connections to some instances: five of fifteen.
const LATE_BY_MS: f64 = 200.0;
/// Pairs of one burst; after a burst it is quiet until the connections, idle for 15 s, are closed.
const BURST: u64 = 40;
const BURSTS: u64 = 3;
const QUIET_MS: f64 = 14_500.0;

fn start_instance(name: &str, release: u32, arrivals: &Arrivals) -> Instance {
    let is_late = has_trouble() && ["old-0", "old-2", "old-4", "old-6", "old-8"].contains(&name);
    let startup_ms = move |_connection: usize| if is_late { LATE_BY_MS } else { 0.0 };
    let work_ms = |class: &str| if class == "book-slot" { 45.0 } else { 68.0 };
    let behavior = Behavior { startup_ms: Box::new(startup_ms), ..Behavior::sound(work_ms) };
    Instance::start(name, release, behavior, arrivals)
}

fn run() -> Result<Verdict, String> {
    let arrivals = Arrivals::default();
    let old: Vec<Instance> = (0..10).map(|n| start_instance(&format!("old-{n}"), 41, &arrivals)).collect();
    let new: Vec<Instance> = (0..5).map(|n| start_instance(&format!("new-{n}"), 42, &arrivals)).collect();
    let host = |instance: &Instance, born_ms| Host {
        id: instance.name.clone(),
        dial: instance.addr,
        site: "ba-dc1".into(),
        kind: "std-4c".into(),
        health: "up".into(),
        born_ms,
        release: instance.release,
    };
    let mut hosts: Vec<Host> = old.iter().map(|instance| host(instance, 0)).collect();
    hosts.extend(new.iter().map(|instance| host(instance, unix_ms() - 30_000)));
    let discovery = Discovery::start(hosts);
    let rollout = Rollout { version: 42, step: 2, status: "IN_PROGRESS", cap: 0.85, began: now_ms() };
    let platform = Platform::start(rollout.clone());
    let gateway = Gateway::start(&Told {
        discovery: discovery.addr,
        platform: platform.addr,
        news: rollout.json(),
        known: discovery.whole(),
        settings: settings::booking(),
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
    let mut at = 0.0;
    for pair in 0..BURST * BURSTS {
        // The same applicant's booking attempt: two txns of one key, 25 ms apart.
        let item = format!("attempt-{pair:x}-{:x}", rng.next() & 0xffff);
        for part in 0..2u32 {
            let ask = Ask {
                id: format!("{:016x}", pair * 2 + u64::from(part) + 1),
                class: if part == 0 { "applicant-save" } else { "book-slot" }.into(),
                item: item.clone(),
                tenant: "web-portal".into(),
                d: if part == 0 { 2000 } else { 1200 },
                insert: (part == 1).then(|| (format!("{:016x}", rng.next()), "9f03".to_string())),
                hint: None,
            };
            plan.push((at + 25.0 * f64::from(part), Some(ask)));
        }
        at += if pair % BURST == BURST - 1 { QUIET_MS } else { 8.0 + 10.0 * rng.unit() };
    }
    // The state is told again every 2 s.
    let end = at - QUIET_MS;
    plan.extend((1..).map(|n| 2000.0 * f64::from(n)).take_while(|due| *due < end).map(|due| (due, None)));
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
    // When a client had the new release's answer for a key: the gateway had it before.
    let mut answered: BTreeMap<&str, f64> = BTreeMap::new();
    for outcome in &outcomes {
        if let Answer::Served(value) = &outcome.answer
            && String::from_utf8_lossy(value).contains(" by new-")
        {
            let first = answered.entry(&outcome.item).or_insert(outcome.answered_at);
            *first = first.min(outcome.answered_at);
        }
    }
    let mut returned = Vec::new();
    for arrival in arrivals.iter().filter(|arrival| arrival.instance.starts_with("old-")) {
        if let Some(answered_at) = answered.get(arrival.item.as_str())
            && arrival.at > answered_at + SLACK_MS
        {
            let after = arrival.at - answered_at;
            record::note_at(
                arrival.at,
                format!("BROKEN: {} gets the key {} {after:.0} ms after a client had the new release's answer for it", arrival.instance, arrival.item),
            );
            returned.push(after);
        }
    }
    let served = outcomes.iter().filter(|outcome| matches!(outcome.answer, Answer::Served(_))).count();
    let is_broken = !returned.is_empty();
    let summary = format!(
        "{}\nrequests {}, served {served}; keys that the new release answered: {}\n\
         queries of such a key at the earlier release, more than {SLACK_MS} ms after a client had that answer: {}{}",
        if is_broken { "BROKEN: a key that the new release has answered goes to no earlier one" } else { "held" },
        outcomes.len(),
        answered.len(),
        returned.len(),
        returned.iter().map(|after| format!(" {after:.0} ms")).collect::<String>(),
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
    run_case(90_000.0, run);
}

//! A key that the new release has answered goes to an earlier one, because the query had been waiting for a connection.

use review_standins_2::client::{Answer, Ask, Clients};
use review_standins_2::discovery::{Discovery, Host};
use review_standins_2::gateway::{Gateway, Told};
use review_standins_2::instance::{Arrivals, Behavior, Instance};
use review_standins_2::platform::{Platform, Rollout, Single};
use review_standins_2::record::{self, note};
use review_standins_2::{Rng, Verdict, has_trouble, now_ms, record_traffic, run_case, settings, sleep_until, unix_ms};
use std::collections::BTreeMap;

/// Every time limit is this much longer on sockets.
const SLACK_MS: f64 = 50.0;
/// Added to the set-up of new connections to some instances: five of fifteen.
const LATE_BY_MS: f64 = 200.0;
/// When bursts of pairs begin, and how many pairs each has.
const BURSTS: [(f64, u64); 4] = [(100.0, 50), (1100.0, 60), (2200.0, 70), (3300.0, 80)];

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
    let new: Vec<Instance> = (0..10).map(|n| start_instance(&format!("new-{n}"), 42, &arrivals)).collect();
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
    // The last wave has just begun: five nodes run since the earlier ones, five more start within 2 s.
    hosts.extend(new[..5].iter().map(|instance| host(instance, unix_ms() - 30_000)));
    let discovery = Discovery::start(hosts);
    let rollout = Rollout { version: 42, step: 3, status: "IN_PROGRESS", cap: 1.0, began: now_ms() };
    let caps = [0.085, 0.34, 0.85, 1.0];
    let single = Single { soak_over: f64::MAX, vote_life_ms: 4000.0, caps, told_after_ms: Vec::new() };
    let platform = Platform::start_single(rollout.clone(), single);
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
    // 1.5 s after the last node runs, a vote that stands releases the build.
    platform.set_soak_over(start + 1900.0 + 1500.0);
    let mut rng = Rng(0x9e37_79b9_7f4a_7c15 ^ unix_ms());
    let mut plan = Vec::new();
    let mut pair = 0;
    for (begin, pairs) in BURSTS {
        let mut at = begin;
        for _ in 0..pairs {
            // The same applicant's booking attempt: two txns of one key, 25 ms apart.
            let item = format!("attempt-{pair:x}-{:x}", rng.next() & 0xffff);
            for part in 0..2u32 {
                let ask = Ask {
                    id: format!("{:x}", pair * 2 + u64::from(part) + 1),
                    class: if part == 0 { "applicant-save" } else { "book-slot" }.into(),
                    item: item.clone(),
                    tenant: "web-portal".into(),
                    d: if part == 0 { 2000 } else { 1200 },
                    insert: (part == 1).then(|| (format!("{:016x}", rng.next()), "9f03".to_string())),
                    hint: None,
                };
                plan.push((at + 25.0 * f64::from(part), Event::Ask(ask)));
            }
            pair += 1;
            at += 6.0 + 6.0 * rng.unit();
        }
    }
    plan.push((2000.0, Event::Tell));
    // Each new node is listed 0.8 s after it has started.
    plan.extend((5..10).map(|n| (300.0 + 400.0 * (n - 5) as f64 + 800.0, Event::List(n))));
    plan.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut threads = Vec::new();
    for (due, event) in plan {
        sleep_until(start + due);
        match event {
            Event::Ask(ask) => threads.push(clients.spawn(ask)),
            Event::Tell => platform.tell(),
            Event::List(n) => discovery.publish(vec![host(&new[n], unix_ms() - 800)]),
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

enum Event {
    Ask(Ask),
    Tell,
    List(usize),
}

fn main() {
    run_case(60_000.0, run);
}

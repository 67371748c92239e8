//! A build is taken off while the gateway stands still for less than a second: does it stop sending to the build?

use review_standins_2::client::{Answer, Ask, Clients, Outcome};
use review_standins_2::discovery::{Discovery, Host};
use review_standins_2::gateway::{Gateway, SIGCONT, SIGSTOP, Told};
use review_standins_2::instance::{Arrivals, Behavior, Instance};
use review_standins_2::platform::{Platform, Rollout, Single};
use review_standins_2::record::{self, note};
use review_standins_2::{Rng, Verdict, has_trouble, now_ms, record_traffic, run_case, settings, sleep_until, unix_ms};
use std::sync::Mutex;

/// The window of the rule on exposure, and what passes in it at a cap of 0: the free number and the slack of the protocol page.
const WINDOW_MS: f64 = 3000.0;
const PASSES: usize = 2 + 2;
/// Share of the txns to which the release on trial gives wrong answers.
const WRONG_SHARE: f64 = 0.2;
/// From the telling of a lower cap until it binds: grace for drains, slack of the protocol page, 50 ms on each limit.
const BINDS_AFTER_MS: f64 = 500.0 + 150.0 + 50.0;

fn start_instance(name: &str, release: u32, arrivals: &Arrivals) -> Instance {
    let work_ms = |class: &str| match class {
        "slot-lookup" => 35.0,
        "applicant-save" => 90.0,
        _ => 60.0,
    };
    // The release on trial is bad: it gives wrong answers to some txns.
    let rng = Mutex::new(Rng(0x2545_f491_4f6c_dd1d ^ unix_ms() ^ u64::from(release)));
    let is_wrong = move || release == 42 && rng.lock().unwrap().unit() < WRONG_SHARE;
    let behavior = Behavior { is_wrong: Box::new(is_wrong), ..Behavior::sound(work_ms) };
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
    // The last node of the wave is not there yet: it starts 2.4 s after the run begins, and is listed 0.7 s later.
    hosts.extend(new[..4].iter().map(|instance| host(instance, unix_ms() - 30_000)));
    let discovery = Discovery::start(hosts);
    let on_trial = |step, cap, began| Rollout { version: 42, step, status: "IN_PROGRESS", cap, began };
    let first = on_trial(2, 0.85, now_ms());
    // One vote moves a wave on or takes the release off. The wave moves on 200 ms before it is told, the release is taken off 700 ms before.
    let single = Single {
        soak_over: f64::MAX,
        vote_life_ms: 4000.0,
        caps: [0.085, 0.34, 0.85, 1.0],
        told_after_ms: vec![200.0, 700.0],
    };
    let platform = Platform::start_single(first.clone(), single);
    let gateway = Gateway::start(&Told {
        discovery: discovery.addr,
        platform: platform.addr,
        news: first.json(),
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
    let at = |ms: f64| start + ms;
    note("the run begins");
    // The wave has run for 1.5 s once its last node runs, and moves on by the votes that stand then.
    platform.set_soak_over(at(2400.0 + 1550.0));

    // The events of the platform, the list and the disruption, in order.
    let mut events: Vec<(f64, Event)> = vec![
        (3000.0, Event::Vote("approve")),
        (3100.0, Event::ListLast),
        (4450.0, Event::Vote("reject")),
        (7150.0, Event::Tell),
        (9150.0, Event::Tell),
        (11_150.0, Event::Tell),
        (7450.0, Event::Drain),
        (12_150.0, Event::ListDrains),
    ];
    if has_trouble() {
        for begin in [1100.0, 4100.0, 7100.0, 10_100.0] {
            events.push((begin, Event::StandStill));
            events.push((begin + 850.0, Event::GoOn));
        }
    }
    events.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut rng = Rng(0x9e37_79b9_7f4a_7c15 ^ unix_ms());
    let mut next_ask = 0.0;
    let mut number = 0u64;
    let mut threads = Vec::new();
    let end = 13_000.0;
    loop {
        let elapsed = now_ms() - start;
        while events.first().is_some_and(|(due, _)| *due <= elapsed) {
            match events.remove(0).1 {
                Event::Vote(verdict) => platform.vote_by_another(verdict),
                Event::ListLast => discovery.publish(vec![host(&new[4], unix_ms() - 700)]),
                Event::Tell => platform.tell(),
                Event::Drain => {
                    note("platform: the hosts of build 42 drain");
                    new.iter().for_each(|instance| {
                        instance.is_draining.store(true, std::sync::atomic::Ordering::SeqCst);
                    });
                }
                Event::ListDrains => discovery.publish(
                    new.iter().map(|instance| Host { health: "draining".into(), ..discovery.host(&instance.name) }).collect(),
                ),
                Event::StandStill => {
                    note("gateway: stands still");
                    gateway.signal(SIGSTOP);
                }
                Event::GoOn => {
                    gateway.signal(SIGCONT);
                    note("gateway: goes on");
                }
            }
        }
        if elapsed >= end {
            break;
        }
        while next_ask <= elapsed {
            number += 1;
            let draw = rng.unit();
            let (class, d) = if draw < 0.38 {
                ("slot-lookup", 600)
            } else if draw < 0.74 {
                ("applicant-save", 2000)
            } else {
                ("book-slot", 1200)
            };
            let item = format!("k{:x}", rng.next() & 0xffff_ffff);
            let insert = (class == "book-slot").then(|| (format!("{:016x}", rng.next()), "9f03".to_string()));
            threads.push(clients.spawn(Ask {
                id: format!("{number:x}"),
                class: class.into(),
                item,
                tenant: "web-portal".into(),
                d,
                insert,
                hint: None,
            }));
            next_ask += 10.0 * (0.5 + rng.unit());
        }
        let due = events.first().map_or(end, |(due, _)| *due).min(next_ask);
        sleep_until(at(due));
    }
    threads.into_iter().for_each(|thread| drop(thread.join()));

    let told_at = at(5150.0);
    let (from, until) = (told_at + BINDS_AFTER_MS, at(12_150.0));
    let arrivals = arrivals.lock().unwrap().clone();
    let to_new: Vec<_> = arrivals.iter().filter(|arrival| arrival.instance.starts_with("new-")).collect();
    let late: Vec<_> = to_new.iter().filter(|arrival| arrival.at >= from && arrival.at < until).collect();
    let mut worst = (0, String::new());
    for first in &late {
        let in_window = |other: &&&&review_standins_2::instance::Arrival| {
            other.class == first.class && other.at >= first.at && other.at < first.at + WINDOW_MS
        };
        let count = late.iter().filter(in_window).count();
        if count > worst.0 {
            worst = (count, first.class.clone());
        }
    }
    let outcomes = clients.outcomes.lock().unwrap().clone();
    record_traffic(&arrivals, &outcomes);
    let served = outcomes.iter().filter(|outcome| matches!(outcome.answer, Answer::Served(_))).count();
    let is_late_and_wrong = |outcome: &&Outcome| {
        let Answer::Served(value) = &outcome.answer else { return false };
        let sent_late = late.iter().any(|arrival| arrival.id == outcome.id);
        sent_late && String::from_utf8_lossy(value).ends_with("WRONG")
    };
    let wrong = outcomes.iter().filter(is_late_and_wrong).count();
    let is_broken = worst.0 > PASSES;
    let summary = format!(
        "{}\nrequests {}, served {served}; queries at the build on trial before its cap fell to 0: {}\n\
         queries at that build from {BINDS_AFTER_MS} ms after the cap of 0 was told until its hosts were listed as draining: {}\n\
         most of one product within 3 s: {} {} (at most {PASSES} pass); clients served a wrong answer by those queries: {wrong}",
        if is_broken { "BROKEN: exposure within the cap" } else { "held" },
        outcomes.len(),
        to_new.iter().filter(|arrival| arrival.at < told_at).count(),
        late.len(),
        worst.0,
        worst.1,
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
    Vote(&'static str),
    ListLast,
    Tell,
    Drain,
    ListDrains,
    StandStill,
    GoOn,
}

fn main() {
    run_case(60_000.0, run);
}

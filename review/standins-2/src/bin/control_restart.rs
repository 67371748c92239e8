//! A control service restarts after the platform's news was late for a while: do proxies still get its decisions?

use review_standins_2::discovery::{Discovery, Host};
use review_standins_2::gateway::{ControlService, free_address, root, work};
use review_standins_2::link::Link;
use review_standins_2::platform::{Platform, Rollout, Single};
use review_standins_2::record::{self, note};
use review_standins_2::xds::{DRAINING, HEALTHY, Proxy};
use review_standins_2::{Verdict, has_trouble, now_ms, run_case, sleep_until};
use std::path::PathBuf;

/// Within this time every client converges on the latest decision.
const CONVERGES_WITHIN_MS: f64 = 5000.0;
const LATE_BY_MS: f64 = 2600.0;

/// `deploy/control.star` with the addresses of the stand-ins and a state file; `deploy/site.star` as it is.
fn write_file(xds: &str, discovery: &str, platform: &str) -> std::io::Result<PathBuf> {
    std::fs::copy(root().join("deploy/site.star"), work().join("site.star"))?;
    let text = std::fs::read_to_string(root().join("deploy/control.star"))?;
    let state = format!("\"state\": \"{}\",", work().join("control.redb").display());
    let text = text.replace("127.0.0.1:8500", discovery).replace("127.0.0.1:6400", platform).replace("127.0.0.1:18000", xds);
    let text = text.replace("# \"state\": \"/var/lib/latchhaven/control.redb\",", &state);
    if !text.contains(&state) || !text.contains(xds) {
        return Err(std::io::Error::other("deploy/control.star is not as expected"));
    }
    let path = work().join("control.star");
    std::fs::write(&path, text)?;
    Ok(path)
}

fn run() -> Result<Verdict, String> {
    let host = |n: u16| Host {
        id: format!("h-{n}"),
        dial: format!("127.0.0.1:{}", 9100 + n).parse().expect("an address"),
        site: format!("zone-{}", n % 3 + 1),
        kind: "std-3c".into(),
        health: "up".into(),
        born_ms: 0,
        release: 42,
    };
    let discovery = Discovery::start((0..9).map(host).collect());
    // The last ring began half a second ago, and can be released 2 s after that by one vote.
    let rollout = Rollout { version: 42, step: 3, status: "IN_PROGRESS", cap: 1.0, began: now_ms() - 500.0 };
    let caps = [0.04, 0.15, 0.5, 1.0];
    let soak_over = now_ms() + 1500.0;
    let single = Single { soak_over, vote_life_ms: 6000.0, caps, told_after_ms: vec![500.0] };
    let platform = Platform::start_single(rollout, single);
    // With the disruption all that the platform tells is late for the first 16 s.
    let link = Link::start(platform.addr, 0.0, if has_trouble() { LATE_BY_MS } else { 0.0 });
    let xds = free_address();
    let file = write_file(&xds.to_string(), &discovery.addr.to_string(), &link.addr.to_string())
        .map_err(|error| format!("the file of the control service: {error}"))?;
    let start = now_ms();
    let at = |seconds: f64| sleep_until(start + 1000.0 * seconds);
    let service = ControlService::start(&file).map_err(|error| format!("the control service did not start: {error}"))?;
    at(1.0);
    let proxies: Vec<Proxy> = (0..3).map(|n| Proxy::start(&format!("proxy-{n}"), xds)).collect();
    at(8.0);
    let port = |n: u16| 9100 + n;
    if !proxies.iter().all(|proxy| proxy.host(port(0)).is_some_and(|(health, _)| health == HEALTHY)) {
        return Err("the proxies did not get the hosts within 7 s".into());
    }
    if platform.current().status != "COMPLETE" {
        return Err("the service did not vote for the release within 8 s".into());
    }
    // It tells its state again every 6 s.
    at(10.0);
    platform.tell();
    at(16.0);
    *link.late_by.lock().unwrap() = 0.0;
    note("platform: what it tells comes as usual from now on");
    platform.tell();
    at(20.0);
    service.stop().ok_or("the control service did not end")?;
    let service = ControlService::start(&file).map_err(|error| format!("the control service did not start again: {error}"))?;
    at(22.0);
    platform.tell();
    at(26.0);
    // An ordinary drain. Another proxy starts at the same time.
    let told_at = now_ms();
    discovery.publish(vec![Host { health: "draining".into(), ..discovery.host("h-0") }]);
    let late_comer = Proxy::start("proxy-new", xds);
    at(28.0);
    platform.tell();
    at(34.0);
    platform.tell();
    at(38.0);
    let is_told = |proxy: &Proxy| {
        proxy.host(port(0)).is_some_and(|(health, at)| health == DRAINING && at <= told_at + CONVERGES_WITHIN_MS)
    };
    let told = proxies.iter().filter(|proxy| is_told(proxy)).count();
    let new_has = late_comer.held.lock().unwrap().responses;
    drop(service);
    let is_broken = told < proxies.len() || new_has == 0;
    let summary = format!(
        "{}\nproxies told of a drain within {CONVERGES_WITHIN_MS} ms: {told} of {}; told at all within 12 s: {}\n\
         responses to a proxy that started then, within 12 s: {new_has}",
        if is_broken { "BROKEN: every client converges on the latest decision within 5 s" } else { "held" },
        proxies.len(),
        proxies.iter().filter(|proxy| proxy.host(port(0)).is_some_and(|(health, _)| health == DRAINING)).count(),
    );
    println!("{summary}");
    let log = std::fs::read_to_string(work().join("control.log")).unwrap_or_default();
    let log = log.lines().filter(|line| line.contains("publish: ")).map(|line| line.get(20..).unwrap_or(line));
    let log: Vec<&str> = log.collect();
    record::write(&format!("{summary}\n\nthe control service's log on publications, both processes\n{}", log.join("\n")));
    Ok(if is_broken { Verdict::Broken } else { Verdict::Held })
}

fn main() {
    run_case(90_000.0, run);
}

//! Limits on the attempts at canaries: traffic caps, closed stages and sticky keys.

use crate::support::{SentAttempt, TestConfig, class, succeed, with_canary};
use latchhaven_policy::state::exposure::ExposureLimiter;
use latchhaven_policy::{
    AttemptOutcome, DedupScope, ExposureConfig, Idempotency, Millis, RequestId, RolloutPhase, RolloutState,
    Version,
};
use rstest::rstest;

#[rstest]
#[case::all_classes_together(false)]
#[case::per_class(true)]
fn canary_attempts_stay_within_cap_in_every_window(#[case] per_class: bool) {
    let mut config = TestConfig::default();
    config.exposure.per_class = per_class;
    config.classes.push(class("rare", Idempotency::Idempotent, DedupScope::All));
    let mut gateway = with_canary(config, 0, 0.1, succeed);
    let mut received: Vec<(Millis, RequestId, bool)> = Vec::new();
    for number in 0..600 {
        let rare = number % 10 == 0;
        received.push((gateway.now, gateway.request(if rare { "rare" } else { "look" }, None), rare));
        gateway.step();
    }
    let exposed: Vec<&SentAttempt> = gateway.sent.iter().filter(|sent| sent.version == Version(2)).collect();
    assert!(exposed.len() > 20, "the canary gets only {} attempts", exposed.len());
    let is_rare = |id: RequestId| received.iter().any(|(_, other, rare)| *other == id && *rare);
    for class_counted in if per_class { vec![Some(true), Some(false)] } else { vec![None] } {
        let counts = |rare: bool| class_counted.is_none_or(|counted| counted == rare);
        for last in exposed.iter().filter(|sent| counts(is_rare(sent.id))) {
            let within = |at: Millis| at > last.sent_at - 2000.0 && at <= last.sent_at;
            let sent = exposed.iter().filter(|sent| within(sent.sent_at) && counts(is_rare(sent.id))).count();
            let received_within =
                gateway.sent.iter().filter(|sent| sent.id < received[0].1 && within(sent.sent_at)).count()
                    + received.iter().filter(|(at, _, rare)| within(*at) && counts(*rare)).count();
            assert!(
                sent as f64 <= 2.0 + 0.1 * received_within as f64 + 1e-9,
                "{sent} canary attempts for {received_within} requests"
            );
        }
    }
}

#[test]
fn requests_queued_longer_than_the_window_allow_no_exposure() {
    let mut gateway = with_canary(TestConfig::default(), 0, 0.1, succeed);
    // Requests are queued on their connections for longer than the window of 2 s, so none of them arrived within it.
    gateway.queued_for = 3000.0;
    let from = gateway.now + 2000.0;
    (0..800).for_each(|_| {
        gateway.request("look", None);
        gateway.step();
    });
    let exposed: Vec<&SentAttempt> =
        gateway.sent.iter().filter(|sent| sent.version == Version(2) && sent.sent_at > from).collect();
    assert!(!exposed.is_empty());
    for last in &exposed {
        let sent = exposed
            .iter()
            .filter(|sent| sent.sent_at > last.sent_at - 2000.0 && sent.sent_at <= last.sent_at)
            .count();
        assert!(sent <= 2, "{sent} canary attempts, where only the allowance of 2 permits any");
    }
}

#[rstest]
#[case::cap_zero(0, 0.0, "look")]
#[case::closed_stage(0, 0.5, "pay")]
fn closed_stage_or_zero_cap_gets_no_attempt(#[case] stage: u32, #[case] cap: f64, #[case] class: &str) {
    let mut config = TestConfig::default();
    config.exposure.idempotent_only_stages = 1;
    let mut gateway = with_canary(config, stage, cap, succeed);
    (0..200).for_each(|_| {
        gateway.request(class, None);
        gateway.step();
    });
    assert!(gateway.sent.iter().all(|sent| sent.version == Version(1)));
    // A version later than that of the reported rollout counts as in the first stage.
    gateway.start_endpoints(&["b5"], Version(3));
    (0..200).for_each(|_| {
        gateway.request("pay", None);
        gateway.step();
    });
    assert!(gateway.sent.iter().all(|sent| sent.version == Version(1)));
}

/// A request that waits for a connection was routed before the canary served its key; written afterwards, the key would
/// return to the earlier version.
#[rstest]
#[case::late_connections(200.0)]
#[case::later_connections(450.0)]
fn attempts_at_earlier_versions_are_not_written_once_the_canary_has_served_their_key(
    #[case] write_delay: Millis,
) {
    let mut config = TestConfig::default();
    config.exposure.sticky_keys = true;
    config.classes[0].latency_objective = 2000.0;
    let slow_at_baseline = move |sent: &SentAttempt| {
        (AttemptOutcome::Success, if sent.version == Version(2) { 50.0 } else { write_delay + 50.0 })
    };
    let mut gateway = with_canary(config, 2, 1.0, slow_at_baseline);
    // Until the canary is fully warmed up.
    gateway.run_for(4000.0);
    gateway.write_delay = write_delay;
    let mut pairs = Vec::new();
    for number in 0..60 {
        let key = format!("k{number}");
        let first = gateway.request("look", Some(&key));
        gateway.run_for(20.0);
        pairs.push([first, gateway.request("look", Some(&key))]);
        gateway.run_for(40.0);
    }
    gateway.run_for(1000.0);
    assert!(gateway.unwritten.len() >= 5, "{} attempts were cancelled", gateway.unwritten.len());
    for pair in pairs {
        for id in pair {
            assert!(gateway.succeeded.contains_key(&id), "{id:?}: {:?}", gateway.unserved.get(&id));
        }
        let of_pair = || gateway.sent.iter().filter(|sent| pair.contains(&sent.id));
        let served_at = of_pair()
            .filter(|sent| sent.version == Version(2))
            .map(|sent| gateway.succeeded[&sent.id])
            .min_by(f64::total_cmp);
        let is_written = |sent: &&SentAttempt| !gateway.unwritten.contains(&(sent.id, sent.number));
        for sent in of_pair().filter(|sent| sent.version == Version(1)).filter(is_written) {
            assert!(served_at.is_none_or(|served_at| sent.sent_at + write_delay <= served_at));
        }
    }
}

/// Attempts that waited for a connection were allowed by requests that are no longer in the window when endpoints receive
/// them: together with later attempts they would exceed the cap.
#[rstest]
#[case::short_delay(100.0)]
#[case::late_connections(200.0)]
#[case::later_connections(450.0)]
fn attempts_written_late_stay_within_the_cap_in_every_window(#[case] write_delay: Millis) {
    let mut config = TestConfig::default();
    config.classes[0].latency_objective = 2000.0;
    let served = move |_: &SentAttempt| (AttemptOutcome::Success, write_delay + 50.0);
    let mut gateway = with_canary(config, 1, 0.5, served);
    gateway.run_for(4000.0);
    let mut received: Vec<Millis> = Vec::new();
    for burst in 0..4 {
        // The connections are late in every other burst.
        gateway.write_delay = if burst % 2 == 0 { write_delay } else { 0.0 };
        for _ in 0..60 {
            received.push(gateway.now);
            gateway.request("look", None);
        }
        gateway.run_for(2080.0);
    }
    let exposed = gateway.written.iter().filter(|(_, sent)| sent.version == Version(2));
    let exposed: Vec<Millis> = exposed.map(|(at, _)| *at).filter(|at| *at >= received[0]).collect();
    assert!(exposed.len() > 40, "the canary gets only {} attempts", exposed.len());
    for last in &exposed {
        let within = |at: &&Millis| **at > last - 2000.0 && **at <= *last;
        let (written, arrived) =
            (exposed.iter().filter(within).count(), received.iter().filter(within).count());
        assert!(written as f64 <= 2.0 + 0.5 * arrived as f64, "{written} attempts for {arrived} requests");
    }
}

/// Clients may use ever new keys: their number must not determine the memory, and none may return from the canary.
#[test]
fn new_keys_stay_with_the_baseline_once_the_recorded_ones_are_too_many() {
    let config = ExposureConfig {
        sticky_keys: true,
        stage_caps: vec![1.0],
        window: 2000.0,
        ..ExposureConfig::default()
    };
    let mut exposure = ExposureLimiter::new(config, 1);
    let state = |phase| RolloutState { version: Version(2), stage: 0, phase, traffic_cap: 1.0, age: 0.0 };
    exposure.apply_rollout(state(RolloutPhase::Canary));
    let key = |number: usize| format!("k{number}");
    let mut served = 0;
    for number in 0..100_000 {
        if exposure.may_become_sticky(Some(&key(number))) {
            served += 1;
            assert!(exposure.record_sticky_key(&key(number), Version(2), Version(1)));
        }
    }
    assert_eq!((served, exposure.sticky_key_count()), (65_536, 65_536));
    assert!((0..served).all(|number| exposure.sticky_version(Some(&key(number))) == Some(Version(2))));
    assert_eq!(exposure.sticky_version(Some(&key(served))), None);
    // A version that is completely rolled out serves new keys too: from then on, none may go back.
    exposure.apply_rollout(state(RolloutPhase::Promoted));
    assert_eq!(exposure.sticky_version(Some(&key(served))), Some(Version(2)));
    exposure.apply_rollout(state(RolloutPhase::RollingBack));
    assert_eq!(exposure.sticky_key_count(), 0);
}

#[rstest]
fn sticky_key_stays_with_canary_until_rollback() {
    let mut config = TestConfig::default();
    config.exposure.sticky_keys = true;
    let mut gateway = with_canary(config, 1, 0.5, succeed);
    for number in 0..400 {
        gateway.request("look", Some(&format!("k{}", number % 40)));
        gateway.run_for(20.0);
    }
    // Ids are consecutive, so the number of the key follows from the id.
    let first =
        gateway.sent.iter().find(|sent| sent.version == Version(2)).expect("an attempt at the canary").id;
    let start = gateway.sent.iter().map(|s| s.id.0).max().unwrap_or(0) - 399;
    let key = |id: RequestId| (id.0 - start) % 40;
    for new in gateway.sent.iter().filter(|sent| sent.version == Version(2) && sent.id >= first) {
        assert!(
            gateway
                .sent
                .iter()
                .all(|sent| sent.id <= new.id || key(sent.id) != key(new.id) || sent.version == Version(2))
        );
    }
    gateway.update_rollout(Version(2), 1, RolloutPhase::RollingBack, 0.0);
    let released = gateway.request("look", Some(&format!("k{}", key(first))));
    gateway.run_for(100.0);
    assert!(gateway.succeeded.contains_key(&released));
}

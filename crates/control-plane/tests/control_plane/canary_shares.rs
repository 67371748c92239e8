//! The canary shares of proxies that reject configurations or are disconnected.

use crate::support::{exchange_all, service_with_canary};
use latchhaven_policy::{RolloutPhase, Version};

/// Limit of the responses to a proxy in one round of messages. More show that rejected routes are sent repeatedly.
const MAX_RESPONSES: usize = 3;

#[test]
fn proxies_that_reject_keep_their_share_and_the_others_get_less() {
    let (mut service, mut proxies) = service_with_canary(4);
    let initial_share = proxies[0].share_of(Version(2));
    proxies.iter_mut().take(2).for_each(|proxy| proxy.rejects_routes = true);
    service.report_rollout(Version(2), 1, RolloutPhase::Canary, 0.3);
    service.advance(20.0);
    for _ in 0..10 {
        let response_counts: Vec<usize> =
            proxies.iter_mut().map(|proxy| proxy.exchange(&mut service)).collect();
        service.advance(300.0);
        let is_bounded = response_counts.iter().all(|count| *count <= MAX_RESPONSES);
        assert!(is_bounded, "a rejected configuration is sent repeatedly: {response_counts:?}");
    }
    assert!(
        proxies[..2]
            .iter()
            .all(|proxy| proxy.share_of(Version(2)) == initial_share && proxy.cache.rejected_responses >= 1)
    );
    let sum: f64 = proxies.iter().map(|proxy| proxy.share_of(Version(2))).sum::<f64>() / 4.0;
    assert!(sum <= 0.3, "{sum}");
    assert!(proxies[2].share_of(Version(2)) < 0.15 && proxies[3].share_of(Version(2)) < 0.15);
}

#[test]
fn disconnected_proxy_keeps_its_share_and_the_sum_stays_within_the_cap() {
    let (mut service, mut proxies) = service_with_canary(10);
    let initial_share = proxies[4].share_of(Version(2));
    proxies[4].disconnect(&mut service);
    for cap in [0.4, 0.2, 0.06] {
        service.report_rollout(Version(2), 1, RolloutPhase::Canary, cap);
        service.advance(60.0);
        exchange_all(&mut proxies, &mut service);
        let sum = proxies.iter().map(|proxy| proxy.share_of(Version(2))).sum::<f64>() / 10.0;
        assert!(sum <= cap && proxies[4].share_of(Version(2)) == initial_share, "{sum} of {cap}");
    }
    service.report_rollout(Version(2), 1, RolloutPhase::RollingBack, 0.0);
    service.advance(60.0);
    exchange_all(&mut proxies, &mut service);
    assert!(
        proxies.iter().enumerate().all(|(n, proxy)| n == 4 || proxy.share_of(Version(2)) == 0.0),
        "the rollback applies immediately at every connected proxy"
    );
    proxies[4].connect(&mut service);
    proxies[4].exchange(&mut service);
    assert_eq!(proxies[4].share_of(Version(2)), 0.0);
}

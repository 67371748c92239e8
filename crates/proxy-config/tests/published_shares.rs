//! The share of reachable proxies while unreachable ones may be using more.

use latchhaven_policy::Millis;
use latchhaven_proxy_config::limits::{ACKNOWLEDGE_TIMEOUT, DISCONNECTED_RETENTION};
use latchhaven_proxy_config::parts_per_million::PartsPerMillion;
use latchhaven_proxy_config::published_shares::PublishedShares;
use proptest::prelude::*;

fn share(parts: u32) -> [PartsPerMillion; 1] {
    [PartsPerMillion::new(parts)]
}

#[test]
fn reachable_proxies_get_less_while_unreachable_ones_use_more() {
    let mut published_shares = PublishedShares::new(100);
    for proxy in 0..10 {
        published_shares.on_connected(proxy);
        published_shares.on_sent(proxy, &share(400_000), 0.0);
        published_shares.on_acknowledged(proxy, &share(400_000));
    }
    published_shares.on_disconnected(3, 100.0);
    assert!((published_shares.remaining_share(0, 0.1, 200.0) - 0.06 / 0.9).abs() < 1e-9);
    assert_eq!(published_shares.remaining_share(0, 0.4, 200.0), 0.4);
    assert_eq!(
        published_shares.remaining_share(0, 0.02, 200.0),
        0.0,
        "the disconnected proxy alone exceeds the cap"
    );
    // Nine were sent less; one of them does not acknowledge it.
    (0..10)
        .filter(|proxy| *proxy != 3)
        .for_each(|proxy| published_shares.on_sent(proxy, &share(66_000), 300.0));
    (0..9)
        .filter(|proxy| *proxy != 3)
        .for_each(|proxy| published_shares.on_acknowledged(proxy, &share(66_000)));
    assert!((published_shares.remaining_share(0, 0.1, 300.0) - 0.06 / 0.9).abs() < 1e-9);
    assert!(
        (published_shares.remaining_share(0, 0.1, 300.0 + ACKNOWLEDGE_TIMEOUT) - 0.02 / 0.8).abs() < 1e-9
    );
    published_shares.remove_expired(100.0 + DISCONNECTED_RETENTION);
    assert_eq!(published_shares.len(), 9);
}

/// Shares that were sent and not yet acknowledged.
#[derive(Clone, Copy)]
struct ModelPending {
    /// When the first of them was sent. `None` after a rejection.
    first_sent_at: Option<Millis>,
    /// The highest of them, in parts per million.
    highest: u32,
}

/// An independent model of the shares that one proxy may be using, in parts per million.
#[derive(Clone, Copy, Default)]
struct ModelProxy {
    acknowledged: u32,
    pending: Option<ModelPending>,
    is_disconnected: bool,
}

impl ModelProxy {
    fn sent(&mut self, parts: u32, now: Millis) {
        let pending = self.pending.get_or_insert(ModelPending { first_sent_at: Some(now), highest: 0 });
        pending.highest = pending.highest.max(parts);
    }

    fn acknowledged(&mut self, parts: u32) {
        self.acknowledged = parts;
        self.pending = None;
    }

    fn rejected(&mut self) {
        self.pending = Some(ModelPending { first_sent_at: None, highest: self.acknowledged });
    }

    fn is_unreachable(&self, now: Millis) -> bool {
        let is_overdue = |pending: ModelPending| {
            pending.first_sent_at.is_none_or(|sent_at| now - sent_at >= ACKNOWLEDGE_TIMEOUT)
        };
        self.is_disconnected || self.pending.is_some_and(is_overdue)
    }

    fn highest_possible_share(&self) -> f64 {
        let pending = self.pending.map_or(0, |pending| pending.highest);
        f64::from(self.acknowledged.max(pending)) / 1e6
    }
}

proptest! {
    #![proptest_config(latchhaven_proptest_config::deterministic())]

    /// After any sequence of events the sum is within the cap if all reachable proxies use the remaining share, unless
    /// the unreachable proxies alone exceed it.
    #[test]
    fn sum_of_shares_stays_within_the_total(
        steps in prop::collection::vec((0u64..6, 0u8..5, 0u32..=1_000_000), 0..60), total in 0.0f64..1.0
    ) {
        let mut published_shares = PublishedShares::new(10);
        let mut model = [ModelProxy::default(); 6];
        let mut now = 0.0;
        (0..6).for_each(|proxy| published_shares.on_connected(proxy));
        for (proxy, kind, parts) in steps {
            now += 100.0;
            let expected = &mut model[proxy as usize];
            match kind {
                0 => {
                    published_shares.on_sent(proxy, &share(parts), now);
                    expected.sent(parts, now);
                }
                1 => {
                    published_shares.on_acknowledged(proxy, &share(parts));
                    expected.acknowledged(parts);
                }
                2 => {
                    published_shares.on_rejected(proxy);
                    expected.rejected();
                }
                3 => {
                    published_shares.on_disconnected(proxy, now);
                    expected.is_disconnected = true;
                }
                _ => {
                    published_shares.on_connected(proxy);
                    expected.is_disconnected = false;
                }
            }
        }
        let remaining = published_shares.remaining_share(0, total, now);
        let (mut unreachable, mut sum) = (0.0, 0.0);
        for proxy in &model {
            let used = proxy.highest_possible_share() / 6.0;
            let is_unreachable = proxy.is_unreachable(now);
            unreachable += if is_unreachable { used } else { 0.0 };
            sum += if is_unreachable { used } else { remaining / 6.0 };
        }
        let is_within = sum <= total + 1e-9 || (remaining == 0.0 && sum <= unreachable + 1e-9);
        prop_assert!(is_within, "{sum} {unreachable} {remaining}");
        prop_assert!(remaining <= total);
    }
}

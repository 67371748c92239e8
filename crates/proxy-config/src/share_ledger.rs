//! Which shares of the trial each proxy may still be using. A proxy that was told a lower share and has not accepted
//! it, or that went away, goes on with what it holds for as long as it lasts: nothing calls it back. So that the sum
//! over all stays within the cap, the others are given less.

use latchhaven_policy::Millis;
use std::collections::BTreeMap;

/// A proxy that has not accepted what it was sent within this many ms counts as not having got it. Half a drain
/// grace of 2 s is left for the others to be told.
pub const ACKNOWLEDGE_TIMEOUT: Millis = 500.0;
/// A proxy that has been away for so many ms no longer counts: it was shut down, or its site is lost.
pub const DISCONNECTED_RETENTION: Millis = 600_000.0;

/// A share of the trial by product, in parts of a million.
pub type CanaryShares = Vec<u32>;

#[derive(Clone, Debug, Default)]
struct Holding {
    accepted: CanaryShares,
    /// Sent since and not accepted: when first, and the highest by product.
    sent: Option<(Millis, CanaryShares)>,
    /// Txns in ms, by product.
    rate: Vec<f64>,
    /// Since when it has been away.
    away: Option<Millis>,
}

/// All proxies, by a number that the caller gives each of them.
#[derive(Clone, Debug, Default)]
pub struct ShareLedger {
    held: BTreeMap<u64, Holding>,
    most: usize,
}

impl ShareLedger {
    /// Keeps so many proxies at most.
    pub fn new(most: usize) -> Self {
        ShareLedger { held: BTreeMap::new(), most }
    }

    /// A proxy is there, again or for the first time.
    pub fn connected(&mut self, proxy: u64) {
        if self.held.len() >= self.most && !self.held.contains_key(&proxy) {
            let oldest = self.held.iter().filter(|(_, held)| held.away.is_some());
            let oldest = oldest.min_by(|a, b| a.1.away.unwrap_or(0.0).total_cmp(&b.1.away.unwrap_or(0.0)));
            let oldest = oldest.map(|(proxy, _)| *proxy);
            oldest.map(|proxy| self.held.remove(&proxy));
        }
        self.held.entry(proxy).or_default().away = None;
    }

    /// A proxy reports that it holds shares that this service did not send in its present life.
    pub fn report_held(&mut self, proxy: u64, shares: CanaryShares) {
        self.held.entry(proxy).or_default().accepted = shares;
    }

    /// Shares went out; until they are accepted it may use these or what it had.
    pub fn sent(&mut self, proxy: u64, shares: &CanaryShares, now: Millis) {
        let Some(held) = self.held.get_mut(&proxy) else { return };
        match &mut held.sent {
            Some((_, highest)) => {
                highest.resize(highest.len().max(shares.len()), 0);
                highest.iter_mut().zip(shares).for_each(|(highest, share)| *highest = (*highest).max(*share));
            }
            sent => *sent = Some((now, shares.clone())),
        }
    }

    /// The last that was sent was accepted: it uses nothing else any more.
    pub fn acknowledged(&mut self, proxy: u64, shares: &CanaryShares) {
        if let Some(held) = self.held.get_mut(&proxy) {
            (held.accepted, held.sent) = (shares.clone(), None);
        }
    }

    /// The last that was sent was turned down: it stays with what it had.
    pub fn rejected(&mut self, proxy: u64) {
        if let Some(held) = self.held.get_mut(&proxy) {
            // Kept as late from the beginning: what it holds counts at once.
            held.sent = Some((f64::NEG_INFINITY, held.accepted.clone()));
        }
    }

    /// A proxy went away; it goes on with what it holds.
    pub fn disconnected(&mut self, proxy: u64, now: Millis) {
        if let Some(held) = self.held.get_mut(&proxy) {
            held.away = Some(now);
        }
    }

    /// What a proxy carries, in txns a ms by product.
    pub fn set_request_rate(&mut self, proxy: u64, rate: Vec<f64>) {
        if let Some(held) = self.held.get_mut(&proxy) {
            held.rate = rate;
        }
    }

    /// Txns a ms of one product over all proxies that are there, as last reported.
    pub fn request_rate(&self, product: usize) -> f64 {
        let there = self.held.values().filter(|held| held.away.is_none());
        there.filter_map(|held| held.rate.get(product)).sum()
    }

    pub fn len(&self) -> usize {
        self.held.len()
    }

    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Forgets those that have been away for long.
    pub fn forget_disconnected(&mut self, now: Millis) {
        self.held.retain(|_, held| held.away.is_none_or(|since| now - since < DISCONNECTED_RETENTION));
    }

    /// The share that those who can be told may have, so that the sum over all is at most `whole` of the txns.
    pub fn remaining_share(&self, product: usize, whole: f64, now: Millis) -> f64 {
        let rate = |held: &Holding| held.rate.get(product).copied();
        // One that never reported may carry as much as any other.
        let busiest = self.held.values().filter_map(rate).fold(0.0, f64::max);
        let even = if busiest > 0.0 { busiest } else { 1.0 };
        let (mut stuck, mut used, mut all) = (0.0, 0.0, 0.0);
        for held in self.held.values() {
            let weight = rate(held).unwrap_or(even).max(even * LEAST_WEIGHT);
            all += weight;
            let late = held.sent.as_ref().is_some_and(|(since, _)| now - since >= ACKNOWLEDGE_TIMEOUT);
            if late || held.away.is_some() {
                let part = |shares: &CanaryShares| shares.get(product).copied().unwrap_or(0);
                let sent = held.sent.as_ref().map_or(0, |(_, highest)| part(highest));
                stuck += weight;
                used += weight * f64::from(part(&held.accepted).max(sent))
                    / f64::from(crate::canary_share::MILLION);
            }
        }
        // Those who hold less than they might leave nothing to the others: they may be told at any moment.
        if used <= whole * stuck {
            return whole;
        }
        if all <= stuck {
            return 0.0;
        }
        ((whole * all - used) / (all - stuck)).clamp(0.0, whole)
    }
}

/// The least weight of a proxy, as a part of the busiest: one that reported nothing of late may carry some again.
const LEAST_WEIGHT: f64 = 0.1;

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn the_others_get_less_while_some_hold_more() {
        let mut ledger = ShareLedger::new(100);
        for proxy in 0..10 {
            ledger.connected(proxy);
            ledger.sent(proxy, &vec![400_000], 0.0);
            ledger.acknowledged(proxy, &vec![400_000]);
        }
        ledger.disconnected(3, 100.0);
        assert!((ledger.remaining_share(0, 0.1, 200.0) - 0.06 / 0.9).abs() < 1e-9);
        assert_eq!(ledger.remaining_share(0, 0.4, 200.0), 0.4);
        assert_eq!(ledger.remaining_share(0, 0.02, 200.0), 0.0, "what is out there is more than the cap");
        // Nine were told less; one of them does not accept it.
        (0..10).filter(|proxy| *proxy != 3).for_each(|proxy| ledger.sent(proxy, &vec![66_000], 300.0));
        (0..9).filter(|proxy| *proxy != 3).for_each(|proxy| ledger.acknowledged(proxy, &vec![66_000]));
        assert!((ledger.remaining_share(0, 0.1, 300.0) - 0.06 / 0.9).abs() < 1e-9);
        assert!((ledger.remaining_share(0, 0.1, 300.0 + ACKNOWLEDGE_TIMEOUT) - 0.02 / 0.8).abs() < 1e-9);
        ledger.forget_disconnected(100.0 + DISCONNECTED_RETENTION);
        assert_eq!(ledger.len(), 9);
    }

    proptest! {
        #![proptest_config(latchhaven_proptest_config::deterministic())]

        /// Whatever was sent, accepted, refused or lost: with the rest given to all others the sum keeps the cap,
        /// wherever what is stuck leaves room for that at all.
        #[test]
        fn the_sum_stays_within_the_whole(
            steps in prop::collection::vec((0u64..6, 0u8..5, 0u32..=1_000_000), 0..60), whole in 0.0f64..1.0
        ) {
            let mut ledger = ShareLedger::new(10);
            let mut now = 0.0;
            (0..6).for_each(|proxy| ledger.connected(proxy));
            for (proxy, kind, share) in steps {
                now += 100.0;
                match kind {
                    0 => ledger.sent(proxy, &vec![share], now),
                    1 => ledger.acknowledged(proxy, &vec![share]),
                    2 => ledger.rejected(proxy),
                    3 => ledger.disconnected(proxy, now),
                    _ => ledger.connected(proxy),
                }
            }
            let late = |held: &Holding| held.sent.as_ref().is_some_and(|(since, _)| now - since >= ACKNOWLEDGE_TIMEOUT);
            let rest = ledger.remaining_share(0, whole, now);
            let (mut stuck, mut sum) = (0.0, 0.0);
            for held in ledger.held.values() {
                let used = held.accepted.first().copied().unwrap_or(0);
                let used = used.max(held.sent.as_ref().map_or(0, |(_, highest)| highest.first().copied().unwrap_or(0)));
                let used = f64::from(used) / 1e6 / 6.0;
                let out = late(held) || held.away.is_some();
                stuck += if out { used } else { 0.0 };
                sum += if out { used } else { rest / 6.0 };
            }
            prop_assert!(sum <= whole + 1e-9 || (rest == 0.0 && sum <= stuck + 1e-9), "{sum} {stuck} {rest}");
            prop_assert!(rest <= whole);
        }
    }
}

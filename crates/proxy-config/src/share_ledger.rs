//! The canary shares that each proxy may still be using.
//!
//! A proxy that was sent a lower share and has not acknowledged it, or that disconnected, goes on with the share it
//! holds: nothing can revoke it. The others get less, so that the sum over all proxies stays within the cap.

use crate::parts_per_million::PartsPerMillion;
use latchhaven_policy::Millis;
use std::collections::BTreeMap;

/// Time in ms after which a proxy that has not acknowledged its shares counts as not having received them. Half of a
/// drain grace of 2 s is left to update the others.
pub const ACKNOWLEDGE_TIMEOUT: Millis = 500.0;
/// Time in ms for which a disconnected proxy counts; after that it was shut down, or its site is lost.
pub const DISCONNECTED_RETENTION: Millis = 600_000.0;
/// The minimum weight of a proxy, as a part of the busiest one's: an idle proxy may get requests again.
const MIN_RELATIVE_WEIGHT: f64 = 0.1;

/// The canary's share of the requests of each class, by the index of the class.
pub type CanaryShares = Vec<PartsPerMillion>;

/// Shares that were sent and not yet acknowledged or rejected.
#[derive(Clone, Debug)]
struct PendingShares {
    /// When the first of them was sent.
    since: Millis,
    /// The highest share of each class among them.
    highest: CanaryShares,
}

/// The shares and the request rates of one proxy.
#[derive(Clone, Debug, Default)]
struct ProxyShares {
    acknowledged: CanaryShares,
    pending: Option<PendingShares>,
    /// Requests per ms, by class.
    request_rate: Vec<f64>,
    disconnected_at: Option<Millis>,
}

impl ProxyShares {
    /// True where the proxy may go on with an outdated share.
    fn is_unreachable(&self, now: Millis) -> bool {
        let pending = self.pending.as_ref();
        let is_overdue = pending.is_some_and(|pending| now - pending.since >= ACKNOWLEDGE_TIMEOUT);
        is_overdue || self.disconnected_at.is_some()
    }

    /// The highest share of a class that the proxy may be using.
    fn highest_possible_share(&self, class: usize) -> PartsPerMillion {
        let share_of = |shares: &CanaryShares| shares.get(class).copied().unwrap_or_default();
        let pending = self.pending.as_ref().map(|pending| share_of(&pending.highest));
        share_of(&self.acknowledged).max(pending.unwrap_or_default())
    }
}

/// The shares of all proxies, by a number that the caller assigns to each of them.
#[derive(Clone, Debug, Default)]
pub struct ShareLedger {
    proxies: BTreeMap<u64, ProxyShares>,
    max_proxies: usize,
}

impl ShareLedger {
    /// An empty ledger. Beyond `max_proxies` a new proxy replaces the one that has been disconnected for longest.
    pub fn new(max_proxies: usize) -> Self {
        ShareLedger { proxies: BTreeMap::new(), max_proxies }
    }

    /// A proxy connected, again or for the first time.
    pub fn connected(&mut self, proxy: u64) {
        if self.proxies.len() >= self.max_proxies && !self.proxies.contains_key(&proxy) {
            self.remove_longest_disconnected();
        }
        self.proxies.entry(proxy).or_default().disconnected_at = None;
    }

    fn remove_longest_disconnected(&mut self) {
        let disconnected = self.proxies.iter().filter_map(|(proxy, shares)| {
            shares.disconnected_at.map(|disconnected_at| (*proxy, disconnected_at))
        });
        let longest = disconnected.min_by(|left, right| left.1.total_cmp(&right.1));
        if let Some((proxy, _)) = longest {
            self.proxies.remove(&proxy);
        }
    }

    /// A proxy reported that it holds shares that this process did not send.
    pub fn report_held(&mut self, proxy: u64, shares: CanaryShares) {
        self.proxies.entry(proxy).or_default().acknowledged = shares;
    }

    /// Shares were sent; until they are acknowledged the proxy may use these or the ones before.
    pub fn sent(&mut self, proxy: u64, shares: &[PartsPerMillion], now: Millis) {
        let Some(held) = self.proxies.get_mut(&proxy) else { return };
        match &mut held.pending {
            Some(PendingShares { highest, .. }) => {
                highest.resize(highest.len().max(shares.len()), PartsPerMillion::ZERO);
                for (highest, share) in highest.iter_mut().zip(shares) {
                    *highest = (*highest).max(*share);
                }
            }
            None => held.pending = Some(PendingShares { since: now, highest: shares.to_vec() }),
        }
    }

    /// The last shares that were sent were acknowledged: the proxy uses no others any more.
    pub fn acknowledged(&mut self, proxy: u64, shares: &[PartsPerMillion]) {
        if let Some(held) = self.proxies.get_mut(&proxy) {
            held.acknowledged = shares.to_vec();
            held.pending = None;
        }
    }

    /// The last shares that were sent were rejected: the proxy stays with the ones before.
    pub fn rejected(&mut self, proxy: u64) {
        if let Some(held) = self.proxies.get_mut(&proxy) {
            // Overdue from the start: what it holds counts at once.
            held.pending =
                Some(PendingShares { since: f64::NEG_INFINITY, highest: held.acknowledged.clone() });
        }
    }

    /// A proxy disconnected; it goes on with the shares it holds.
    pub fn disconnected(&mut self, proxy: u64, now: Millis) {
        if let Some(held) = self.proxies.get_mut(&proxy) {
            held.disconnected_at = Some(now);
        }
    }

    /// Sets the request rates of a proxy, in requests per ms by class.
    pub fn set_request_rate(&mut self, proxy: u64, request_rate: Vec<f64>) {
        if let Some(held) = self.proxies.get_mut(&proxy) {
            held.request_rate = request_rate;
        }
    }

    /// Requests per ms of one class over all connected proxies, as last reported.
    pub fn request_rate(&self, class: usize) -> f64 {
        let connected = self.proxies.values().filter(|held| held.disconnected_at.is_none());
        connected.filter_map(|held| held.request_rate.get(class)).sum()
    }

    /// The number of proxies, disconnected ones included.
    pub fn len(&self) -> usize {
        self.proxies.len()
    }

    /// True where no proxy is known.
    pub fn is_empty(&self) -> bool {
        self.proxies.is_empty()
    }

    /// Removes proxies that have been disconnected for [`DISCONNECTED_RETENTION`].
    pub fn remove_expired(&mut self, now: Millis) {
        self.proxies
            .retain(|_, held| held.disconnected_at.is_none_or(|since| now - since < DISCONNECTED_RETENTION));
    }

    /// The share of a class that every reachable proxy may use, so that the sum over all proxies is at most
    /// `total_share` of the requests.
    pub fn remaining_share(&self, class: usize, total_share: f64, now: Millis) -> f64 {
        let rate_of = |held: &ProxyShares| held.request_rate.get(class).copied();
        let busiest_rate = self.proxies.values().filter_map(rate_of).fold(0.0, f64::max);
        // A proxy that never reported may carry as much as any other.
        let assumed_rate = if busiest_rate > 0.0 { busiest_rate } else { 1.0 };
        let mut unreachable_weight = 0.0;
        let mut unreachable_usage = 0.0;
        let mut total_weight = 0.0;
        for held in self.proxies.values() {
            let weight = rate_of(held).unwrap_or(assumed_rate).max(assumed_rate * MIN_RELATIVE_WEIGHT);
            total_weight += weight;
            if held.is_unreachable(now) {
                unreachable_weight += weight;
                unreachable_usage += held.highest_possible_share(class).of(weight);
            }
        }
        // Unreachable proxies that use less than they might leave nothing over: they may be updated at any moment.
        if unreachable_usage <= total_share * unreachable_weight {
            return total_share;
        }
        if total_weight <= unreachable_weight {
            return 0.0;
        }
        let remaining = total_share * total_weight - unreachable_usage;
        (remaining / (total_weight - unreachable_weight)).clamp(0.0, total_share)
    }
}

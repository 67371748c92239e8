//! The canary shares that each proxy may still be using.
//!
//! Problem: a proxy that has not acknowledged a lower share, or that disconnected, continues to use its old share, which
//! cannot be revoked. Method: the other proxies get less, so that the sum over all proxies, weighted by their request
//! rates, stays within the cap.

use crate::limits::{self, ShareUsage};
use crate::parts_per_million::PartsPerMillion;
use latchhaven_policy::Millis;
use std::collections::BTreeMap;

/// The canary's share of the requests of each class, by the index of the class.
pub type CanaryShares = Vec<PartsPerMillion>;

/// Shares that were sent and not yet acknowledged or rejected.
#[derive(Clone, Debug)]
struct PendingShares {
    /// When the first of them was sent, in ms.
    since: Millis,
    /// The highest share of each class among them.
    highest: CanaryShares,
}

/// The shares and the request rates of one proxy.
#[derive(Clone, Debug, Default)]
struct ProxyShares {
    acknowledged: CanaryShares,
    pending: Option<PendingShares>,
    /// In requests per ms, by class.
    request_rate: Vec<f64>,
    disconnected_at: Option<Millis>,
}

impl ProxyShares {
    /// True where the proxy may continue to use an outdated share.
    fn is_unreachable(&self, now: Millis) -> bool {
        let pending = self.pending.as_ref();
        let is_overdue =
            pending.is_some_and(|pending| limits::is_acknowledgement_overdue(now, pending.since));
        is_overdue || self.disconnected_at.is_some()
    }

    /// The highest share of a class that the proxy may be using.
    fn highest_possible_share(&self, class: usize) -> PartsPerMillion {
        let share_of = |shares: &CanaryShares| shares.get(class).copied().unwrap_or_default();
        let pending = self.pending.as_ref().map(|pending| share_of(&pending.highest));
        share_of(&self.acknowledged).max(pending.unwrap_or_default())
    }
}

/// The shares of all proxies, by a number that the caller assigns to each proxy.
#[derive(Clone, Debug, Default)]
pub struct PublishedShares {
    proxies: BTreeMap<u64, ProxyShares>,
    max_proxies: usize,
}

impl PublishedShares {
    /// An empty ledger. Above `max_proxies` a new proxy replaces the one that has been disconnected the longest, whose share
    /// no longer counts; with none disconnected the ledger grows.
    #[must_use]
    pub fn new(max_proxies: usize) -> Self {
        PublishedShares { proxies: BTreeMap::new(), max_proxies }
    }

    /// A proxy connected, again or for the first time.
    pub fn on_connected(&mut self, proxy: u64) {
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

    /// A proxy reported shares that it uses and that this process did not send.
    pub fn on_reported(&mut self, proxy: u64, shares: CanaryShares) {
        self.proxies.entry(proxy).or_default().acknowledged = shares;
    }

    /// Shares were sent; until they are acknowledged the proxy may use these or earlier ones.
    pub fn on_sent(&mut self, proxy: u64, shares: &[PartsPerMillion], now: Millis) {
        let Some(proxy_shares) = self.proxies.get_mut(&proxy) else { return };
        match &mut proxy_shares.pending {
            Some(PendingShares { highest, .. }) => {
                highest.resize(highest.len().max(shares.len()), PartsPerMillion::ZERO);
                for (highest, share) in highest.iter_mut().zip(shares) {
                    *highest = (*highest).max(*share);
                }
            }
            None => proxy_shares.pending = Some(PendingShares { since: now, highest: shares.to_vec() }),
        }
    }

    /// A proxy acknowledged the last sent shares: it uses no others.
    pub fn on_acknowledged(&mut self, proxy: u64, shares: &[PartsPerMillion]) {
        if let Some(proxy_shares) = self.proxies.get_mut(&proxy) {
            proxy_shares.acknowledged = shares.to_vec();
            proxy_shares.pending = None;
        }
    }

    /// A proxy rejected the last sent shares: it continues to use the ones before.
    pub fn on_rejected(&mut self, proxy: u64) {
        if let Some(proxy_shares) = self.proxies.get_mut(&proxy) {
            // Overdue from the start: the proxy counts as unreachable immediately.
            proxy_shares.pending =
                Some(PendingShares { since: f64::NEG_INFINITY, highest: proxy_shares.acknowledged.clone() });
        }
    }

    /// A proxy disconnected; it continues to use its shares.
    pub fn on_disconnected(&mut self, proxy: u64, now: Millis) {
        if let Some(proxy_shares) = self.proxies.get_mut(&proxy) {
            proxy_shares.disconnected_at = Some(now);
        }
    }

    /// Sets the request rates of a proxy, in requests per ms by class.
    pub fn set_request_rate(&mut self, proxy: u64, request_rate: Vec<f64>) {
        if let Some(proxy_shares) = self.proxies.get_mut(&proxy) {
            proxy_shares.request_rate = request_rate;
        }
    }

    /// Requests per ms of one class over all connected proxies, as last reported.
    #[must_use]
    pub fn request_rate(&self, class: usize) -> f64 {
        let connected = self.proxies.values().filter(|proxy_shares| proxy_shares.disconnected_at.is_none());
        connected.filter_map(|proxy_shares| proxy_shares.request_rate.get(class)).sum()
    }

    /// The number of proxies, disconnected ones included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.proxies.len()
    }

    /// True where there is no proxy.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.proxies.is_empty()
    }

    /// Removes proxies that have been disconnected for [`limits::DISCONNECTED_RETENTION`].
    pub fn remove_expired(&mut self, now: Millis) {
        self.proxies.retain(|_, proxy| {
            proxy.disconnected_at.is_none_or(|since| limits::retains_disconnected(now, since))
        });
    }

    /// The share of a class, from 0 to 1, that each reachable proxy may use, so that the sum over all proxies is at most
    /// `total_share` of the requests.
    #[must_use]
    pub fn remaining_share(&self, class: usize, total_share: f64, now: Millis) -> f64 {
        limits::remaining_share(total_share, self.usage(class, now))
    }

    /// The weights of all proxies, and the usage of the unreachable ones.
    fn usage(&self, class: usize, now: Millis) -> ShareUsage {
        let rate_of = |proxy: &ProxyShares| proxy.request_rate.get(class).copied();
        let busiest_rate = self.proxies.values().filter_map(rate_of).fold(0.0, f64::max);
        let mut usage = ShareUsage::default();
        for proxy in self.proxies.values() {
            let weight = limits::proxy_weight(rate_of(proxy), busiest_rate);
            usage.total_weight += weight;
            if proxy.is_unreachable(now) {
                usage.unreachable_weight += weight;
                usage.unreachable_usage += proxy.highest_possible_share(class).of(weight);
            }
        }
        usage
    }
}

//! The canary shares that were published to each proxy, and that it may still be using.
//!
//! Problem: a proxy that has not acknowledged a lower share, or that disconnected, continues to use its old share,
//! which cannot be revoked. Method: such a proxy counts as unreachable, with the highest share that it may be using.
//! The reachable proxies get less, so that the sum over all proxies, weighted by their request rates, stays within
//! the cap.

use crate::limits::{self, ShareUsage};
use crate::parts_per_million::PartsPerMillion;
use latchhaven_policy::Millis;
use std::collections::BTreeMap;

/// The share of requests that canaries get, for each request class by its index.
pub type CanaryShares = Vec<PartsPerMillion>;

/// Whether a proxy may still acknowledge the shares sent to it.
#[derive(Clone, Copy, Debug)]
enum Acknowledgement {
    /// The first unacknowledged shares were sent at `first_sent_at`.
    Awaited { first_sent_at: Millis },
    /// The proxy rejected shares and has acknowledged none since.
    Rejected,
}

/// Shares that were sent and not yet acknowledged.
#[derive(Clone, Debug)]
struct PendingShares {
    acknowledgement: Acknowledgement,
    /// The highest of these shares, for each request class by its index.
    highest: CanaryShares,
}

/// The shares and the request rates of one proxy.
#[derive(Clone, Debug, Default)]
struct ProxyShares {
    acknowledged: CanaryShares,
    pending: Option<PendingShares>,
    /// In requests per ms, for each request class by its index.
    request_rate: Vec<f64>,
    disconnected_at: Option<Millis>,
}

impl ProxyShares {
    /// Returns `true` if the proxy may continue to use outdated shares: it is disconnected, it rejected the last sent
    /// shares, or its acknowledgement is overdue.
    fn is_unreachable(&self, now: Millis) -> bool {
        let is_unacknowledged = self.pending.as_ref().is_some_and(|pending| match pending.acknowledgement {
            Acknowledgement::Awaited { first_sent_at } => {
                limits::is_acknowledgement_overdue(now, first_sent_at)
            }
            Acknowledgement::Rejected => true,
        });
        is_unacknowledged || self.disconnected_at.is_some()
    }

    /// Returns the highest share of a class that the proxy may be using: the acknowledged one, or a higher one sent
    /// since.
    fn highest_possible_share(&self, class: usize) -> PartsPerMillion {
        let share_of = |shares: &CanaryShares| shares.get(class).copied().unwrap_or_default();
        let pending = self.pending.as_ref().map(|pending| share_of(&pending.highest));
        share_of(&self.acknowledged).max(pending.unwrap_or_default())
    }
}

/// The shares published to each proxy, and its request rates. The caller assigns a number to each proxy.
#[derive(Clone, Debug, Default)]
pub struct PublishedShares {
    proxies: BTreeMap<u64, ProxyShares>,
    max_proxies: usize,
}

impl PublishedShares {
    /// Creates the collection without any proxy. When it has `max_proxies` proxies, a new one replaces the proxy that
    /// has been disconnected the longest, whose share then no longer counts. If none is disconnected, the limit is
    /// exceeded.
    #[must_use]
    pub fn new(max_proxies: usize) -> Self {
        PublishedShares { proxies: BTreeMap::new(), max_proxies }
    }

    /// Adds a proxy that connected for the first time, or marks one that connected again as connected.
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

    /// Records shares that a proxy reports to use although this process did not send them.
    pub fn on_reported(&mut self, proxy: u64, shares: CanaryShares) {
        self.proxies.entry(proxy).or_default().acknowledged = shares;
    }

    /// Records that shares were sent. Until they are acknowledged, the proxy may use these or earlier ones.
    pub fn on_sent(&mut self, proxy: u64, shares: &[PartsPerMillion], now: Millis) {
        let Some(proxy_shares) = self.proxies.get_mut(&proxy) else { return };
        if let Some(PendingShares { highest, .. }) = &mut proxy_shares.pending {
            highest.resize(highest.len().max(shares.len()), PartsPerMillion::ZERO);
            for (highest, share) in highest.iter_mut().zip(shares) {
                *highest = (*highest).max(*share);
            }
        } else {
            let acknowledgement = Acknowledgement::Awaited { first_sent_at: now };
            proxy_shares.pending = Some(PendingShares { acknowledgement, highest: shares.to_vec() });
        }
    }

    /// Records that a proxy acknowledged `shares`, the last ones sent: from now on it uses no others.
    pub fn on_acknowledged(&mut self, proxy: u64, shares: &[PartsPerMillion]) {
        if let Some(proxy_shares) = self.proxies.get_mut(&proxy) {
            proxy_shares.acknowledged = shares.to_vec();
            proxy_shares.pending = None;
        }
    }

    /// Records that a proxy rejected the last sent shares. The proxy continues to use the acknowledged ones, and
    /// counts as unreachable until it acknowledges others.
    pub fn on_rejected(&mut self, proxy: u64) {
        if let Some(proxy_shares) = self.proxies.get_mut(&proxy) {
            let highest = proxy_shares.acknowledged.clone();
            proxy_shares.pending =
                Some(PendingShares { acknowledgement: Acknowledgement::Rejected, highest });
        }
    }

    /// Records that a proxy disconnected. The proxy continues to use its shares, which count until
    /// [`Self::remove_expired`] removes it.
    pub fn on_disconnected(&mut self, proxy: u64, now: Millis) {
        if let Some(proxy_shares) = self.proxies.get_mut(&proxy) {
            proxy_shares.disconnected_at = Some(now);
        }
    }

    /// Sets a proxy's request rates, in requests per ms by class. A proxy without rates counts like the busiest one.
    pub fn set_request_rate(&mut self, proxy: u64, request_rate: Vec<f64>) {
        if let Some(proxy_shares) = self.proxies.get_mut(&proxy) {
            proxy_shares.request_rate = request_rate;
        }
    }

    /// Returns the sum of the request rates of one class over all connected proxies, in requests per ms.
    #[must_use]
    pub fn request_rate(&self, class: usize) -> f64 {
        let connected = self.proxies.values().filter(|proxy_shares| proxy_shares.disconnected_at.is_none());
        connected.filter_map(|proxy_shares| proxy_shares.request_rate.get(class)).sum()
    }

    /// Returns the number of proxies, including disconnected ones that have not expired.
    #[must_use]
    pub fn len(&self) -> usize {
        self.proxies.len()
    }

    /// Returns `true` if there is neither a connected proxy nor a disconnected one that has not expired.
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

    /// Returns the share of a class, from 0 to `total_share`, that each reachable proxy may use. With it the sum over
    /// all proxies is at most `total_share` of the requests, unless the unreachable proxies alone exceed that.
    #[must_use]
    pub fn remaining_share(&self, class: usize, total_share: f64, now: Millis) -> f64 {
        limits::remaining_share(total_share, self.usage(class, now))
    }

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

//! Builds proxy configurations from the decisions and publishes those that differ from the one before.

use super::{ControlPlane, Publication};
use crate::state_store::PersistedState;
use latchhaven_policy::Millis;
use latchhaven_proxy_config::proxy_config::{self, ProxyConfig};
use latchhaven_proxy_config::version::{ConfigVersion, RolloutStatus};
use latchhaven_xds::resources::ResourceSnapshot;
use std::sync::Arc;

/// Proxies that are remembered for each entry of the share ledger; above that, disconnected ones are forgotten.
const MAX_PROXIES_PER_SHARE_ENTRY: usize = 2;
/// Proxies that are remembered beyond that, so that a small site forgets none.
const MIN_RETAINED_PROXIES: usize = 64;

impl ControlPlane {
    /// Builds a configuration; none if none may be published, or nothing has changed.
    pub(super) fn publish(&mut self, now: Millis) -> Option<Publication> {
        self.shares.forget_disconnected(now);
        let max_proxies = MAX_PROXIES_PER_SHARE_ENTRY * self.shares.len() + MIN_RETAINED_PROXIES;
        self.proxies.forget_disconnected_above(max_proxies);
        let mut decisions = self.policy.snapshot(now);
        if decisions.is_canary_rejected {
            self.known_state.reject_canary();
        }
        let version = self.publishable_version()?;
        if version.rollout.status == RolloutStatus::Rejected && decisions.canary_share < 1.0 {
            // Another control plane has rejected the canary.
            decisions.canary_share = 0.0;
        }
        let config = proxy_config::build_proxy_config(
            &decisions,
            &self.settings,
            self.known_state.rolled_back_versions(),
            self.hosts.addresses(),
            &self.shares,
            now,
        );
        let snapshot = self.build_snapshot(&config, version)?;
        self.snapshot = Some(snapshot.clone());
        let rolled_back_versions = self.known_state.rolled_back_versions().clone();
        Some(Publication { snapshot, state: PersistedState { version, rolled_back_versions } })
    }

    /// The version that a configuration has now; none while none may be published, which is logged once.
    fn publishable_version(&mut self) -> Option<ConfigVersion> {
        match self.known_state.config_version() {
            Ok(version) => {
                self.blocked_by = None;
                Some(version)
            }
            Err(reason) => {
                if self.blocked_by.replace(reason) != Some(reason) {
                    tracing::info!(%reason, "publish: blocked");
                }
                None
            }
        }
    }

    /// Encodes a configuration; none if proxies have been sent the same.
    fn build_snapshot(&self, config: &ProxyConfig, version: ConfigVersion) -> Option<Arc<ResourceSnapshot>> {
        let previous = self.snapshot.as_deref();
        let snapshot =
            ResourceSnapshot::build(config, version, &self.resource_config, &self.signer, previous);
        if let Some(previous) = previous
            && previous.version == version
            && snapshot.has_same_resources(previous)
        {
            return None;
        }
        if previous.is_none_or(|previous| previous.version.rollout != version.rollout) {
            let rollout = version.rollout;
            let list_version = version.endpoints.version;
            tracing::info!(?rollout, list_version, canary_shares = ?config.canary_shares, "publish: new rollout state");
        }
        Some(Arc::new(snapshot))
    }
}

//! Builds proxy configurations from the decisions of the policy, and publishes each that differs from the previous
//! one.

use super::{ControlPlane, Publication};
use crate::limits;
use crate::state_store::PersistedState;
use latchhaven_policy::Millis;
use latchhaven_proxy_config::proxy_config::{self, ProxyConfig};
use latchhaven_proxy_config::version::ConfigVersion;
use latchhaven_xds::resources::ResourceSnapshot;
use std::sync::Arc;

impl ControlPlane {
    /// Removes disconnected proxies whose retention has ended, records a rejection of the canary by this process, and
    /// builds a configuration, which becomes the current snapshot. `None` if nothing may be published yet, or if
    /// version and resources equal those of the current snapshot.
    pub(super) fn publish(&mut self, now: Millis) -> Option<Publication> {
        self.published_shares.remove_expired(now);
        self.proxies.remove_disconnected_above(limits::max_registered_proxies(self.published_shares.len()));
        let mut decisions = self.policy.snapshot(now);
        if decisions.is_canary_rejected {
            self.version_tracker.reject_canary();
        }
        let version = self.publishable_version()?;
        decisions.canary_share =
            limits::published_canary_share(decisions.canary_share, version.rollout.status);
        let config = proxy_config::build_proxy_config(
            &decisions,
            &self.settings,
            self.version_tracker.rolled_back_versions(),
            self.addresses.listed(),
            &self.published_shares,
            now,
        );
        let snapshot = self.build_snapshot(&config, version)?;
        self.snapshot = Some(snapshot.clone());
        let rolled_back_versions = self.version_tracker.rolled_back_versions().clone();
        Some(Publication { snapshot, state: PersistedState { version, rolled_back_versions } })
    }

    /// Returns the version of a configuration that is built now. `None` if nothing may be published; the reason is
    /// logged when it changes.
    fn publishable_version(&mut self) -> Option<ConfigVersion> {
        match self.version_tracker.config_version() {
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

    /// Encodes a configuration. `None` if the current snapshot has the same version and resources.
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
            tracing::info!(
                snapshot = snapshot.number,
                ?rollout,
                list_version,
                canary_shares = ?config.canary_shares,
                "publish: new rollout state"
            );
        }
        Some(Arc::new(snapshot))
    }
}

//! The clusters: one for each pair of version and request class.

use super::context::ConfigContext;
use super::model::Cluster;
use crate::limits;
use latchhaven_policy::Version;

impl ConfigContext<'_> {
    /// One cluster for each of these versions and each request class, in this order.
    pub(super) fn clusters(&self, versions: impl Iterator<Item = Version>) -> Vec<Cluster> {
        let mut clusters = Vec::new();
        for version in versions {
            let max_in_flight = self.max_in_flight(version);
            let allows_retries = !self.is_capped_canary(version);
            for class in 0..self.settings.classes.len() {
                clusters.push(Cluster { version, class, max_in_flight, allows_retries });
            }
        }
        clusters
    }

    fn max_in_flight(&self, version: Version) -> u32 {
        let per_endpoint = self.settings.max_in_flight_per_endpoint;
        limits::max_in_flight(per_endpoint, self.capacity(version), self.published_shares.len())
    }

    fn is_capped_canary(&self, version: Version) -> bool {
        let canaries = &self.snapshot.canaries;
        canaries.iter().any(|canary| canary.version == version && canary.traffic_cap < 1.0)
    }
}

//! The health checks that have not ended.

use latchhaven_policy::Millis;
use std::collections::BTreeMap;

/// A health check that has not ended.
pub(super) struct HealthCheck {
    pub(super) endpoint: String,
    /// In ms.
    pub(super) started_at: Millis,
}

/// The health checks that have not ended, by number.
#[derive(Default)]
pub(super) struct HealthChecks {
    active: BTreeMap<u64, HealthCheck>,
    last_number: u64,
}

impl HealthChecks {
    /// Adds a health check and returns its number.
    pub(super) fn start(&mut self, endpoint: String, started_at: Millis) -> u64 {
        self.last_number += 1;
        self.active.insert(self.last_number, HealthCheck { endpoint, started_at });
        self.last_number
    }

    /// Removes a health check that ends.
    pub(super) fn remove(&mut self, number: u64) -> Option<HealthCheck> {
        self.active.remove(&number)
    }

    /// The endpoint of a health check.
    pub(super) fn endpoint(&self, number: u64) -> Option<String> {
        self.active.get(&number).map(|check| check.endpoint.clone())
    }
}

//! Health checks that are in progress.

use latchhaven_policy::Millis;
use std::collections::BTreeMap;

pub(super) struct HealthCheck {
    pub(super) endpoint: String,
    pub(super) started_at: Millis,
}

/// The health checks in progress, by number. The first has number 1.
#[derive(Default)]
pub(super) struct HealthChecks {
    in_progress: BTreeMap<u64, HealthCheck>,
    last_number: u64,
}

impl HealthChecks {
    /// Adds a health check and returns its number.
    pub(super) fn start(&mut self, endpoint: String, started_at: Millis) -> u64 {
        self.last_number += 1;
        self.in_progress.insert(self.last_number, HealthCheck { endpoint, started_at });
        self.last_number
    }

    /// Removes a completed health check. `None` if the number is unknown.
    pub(super) fn remove(&mut self, number: u64) -> Option<HealthCheck> {
        self.in_progress.remove(&number)
    }

    pub(super) fn endpoint(&self, number: u64) -> Option<String> {
        self.in_progress.get(&number).map(|check| check.endpoint.clone())
    }
}

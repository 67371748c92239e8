//! The rule on exposure: how much a canary may get.

use crate::request::Idempotency;
use crate::rollout::Version;
use crate::state::exposure::ExposureLimiter;
use crate::state::requests::Request;
use crate::time::Millis;

/// ms kept from the ends of spans that rules set.
pub(crate) const SAFETY_MARGIN: Millis = 20.0;

impl ExposureLimiter {
    /// Whether one more attempt at a version keeps the rule.
    pub(crate) fn admits(
        &self, request: &Request, idempotency: Idempotency, version: Version, lowest_version: Version,
        now: Millis,
    ) -> bool {
        if self.pinned_version(request.sticky_key.as_ref()).is_some_and(|pinned| version < pinned) {
            return false;
        }
        let Some(canary) = self.canary(version, lowest_version) else { return true };
        let is_open = canary.stage >= self.config.closed_stages || idempotency == Idempotency::Idempotent;
        let since = now - self.config.window;
        let attempts = self.attempts_since(version, request.class, since - SAFETY_MARGIN) + 1;
        let arrivals = self.arrivals_since(request.class, since + SAFETY_MARGIN);
        let allowed = self.config.allowance + canary.traffic_cap * arrivals as f64;
        canary.traffic_cap > 0.0 && is_open && attempts as f64 <= allowed
    }
}

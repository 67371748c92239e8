//! The rule on exposure: how many attempts a canary may get.
//!
//! A canary may get, within a sliding window, a fixed allowance plus its traffic cap times the requests that arrived. In
//! early stages it may get idempotent requests only, and a sticky key that it has answered goes to no earlier version.
//!
//! The gate of all attempts ([`AttemptGate`](crate::routing::AttemptGate)) calls it for each attempt; the counts are in
//! [`ExposureLimiter`].

use crate::request::Idempotency;
use crate::rollout::Version;
use crate::state::exposure::ExposureLimiter;
use crate::state::requests::Request;
use crate::time::Millis;

/// ms of margin to each time limit that a rule sets.
pub(crate) const SAFETY_MARGIN: Millis = 20.0;

impl ExposureLimiter {
    /// Whether one more attempt at a version complies with the rule; `lowest_version`: the lowest among the ready
    /// endpoints, which is no canary while no rollout is known. The platform may count in a window that is shifted by the
    /// margin: attempts are counted over a longer one, arrivals over a shorter one.
    pub(crate) fn admits(
        &self, request: &Request, idempotency: Idempotency, version: Version, lowest_version: Version,
        now: Millis,
    ) -> bool {
        if self.sticky_version(request.sticky_key.as_ref()).is_some_and(|sticky| version < sticky) {
            return false;
        }
        let Some(canary) = self.canary(version, lowest_version) else { return true };
        let is_stage_open =
            canary.stage >= self.config.idempotent_only_stages || idempotency == Idempotency::Idempotent;
        let since = now - self.config.window;
        let attempts = self.attempts_since(version, request.class, since - SAFETY_MARGIN) + 1;
        let arrivals = self.arrivals_since(request.class, since + SAFETY_MARGIN);
        let allowed = self.config.allowance + canary.traffic_cap * arrivals as f64;
        canary.traffic_cap > 0.0 && is_stage_open && attempts as f64 <= allowed
    }
}

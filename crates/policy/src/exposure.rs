//! The rule on exposure: how many attempts a canary may get.
//!
//! A canary may get, within a sliding window, a fixed allowance plus its traffic cap times the requests that arrived.
//! In early stages only idempotent requests may be sent to it. A sticky key that a canary has served is not sent to an
//! earlier version.
//!
//! The rules for each attempt ([`AttemptRules`](crate::routing::AttemptRules)) include this one; the counts are in
//! [`ExposureLimiter`].

use crate::request::Idempotency;
use crate::rollout::Version;
use crate::state::exposure::ExposureLimiter;
use crate::state::requests::Request;
use crate::time::Millis;

/// Safety margin of each time limit that a rule sets, such as a deadline or the start of a counting window.
pub(crate) const TIME_LIMIT_SAFETY_MARGIN: Millis = 20.0;

impl ExposureLimiter {
    /// Whether one more attempt at a version complies with the rule; `lowest_version`: the lowest among the ready
    /// endpoints, which is not a canary while no rollout is known. The platform may count in a window that is shifted
    /// by the safety margin: attempts are counted over a longer one, arrivals over a shorter one.
    pub(crate) fn allows(
        &self, request: &Request, idempotency: Idempotency, version: Version, lowest_version: Version,
        now: Millis,
    ) -> bool {
        if self.sticky_version(request.sticky_key.as_ref()).is_some_and(|sticky| version < sticky) {
            return false;
        }
        let Some(canary) = self.canary(version, lowest_version) else { return true };
        let is_open_to_class =
            canary.stage >= self.config.idempotent_only_stages || idempotency == Idempotency::Idempotent;
        let window_start = now - self.config.window;
        let attempts =
            self.attempts_since(version, request.class, window_start - TIME_LIMIT_SAFETY_MARGIN) + 1;
        let arrivals = self.arrivals_since(request.class, window_start + TIME_LIMIT_SAFETY_MARGIN);
        let allowed = self.config.allowance + canary.traffic_cap * arrivals as f64;
        let may_serve_key = self.may_become_sticky(request.sticky_key.as_ref());
        canary.traffic_cap > 0.0 && may_serve_key && is_open_to_class && attempts as f64 <= allowed
    }
}

//! Writes the actions of a policy as lines for the simulator.

use crate::fields::{MS_PER_S, encode_bytes};
use latchhaven_policy::{Action, Millis, Verdict};
use std::io::{self, Write};

/// Whether an action is written as a line. The simulator's attempts are written as soon as they are sent, so that there
/// is nothing to cancel before.
#[must_use]
pub fn has_line(action: &Action) -> bool {
    !matches!(action, Action::CancelUnwrittenAttempt { .. })
}

/// Writes one action as one line, or nothing if it has none ([`has_line`]). The caller has written the line that names the instance.
///
/// # Errors
/// Writing to `out` failed.
pub fn write_action(action: &Action, out: &mut impl Write) -> io::Result<()> {
    match action {
        Action::SendAttempt { id, endpoint, timeout, .. } => {
            write!(out, "PASS_ON handle={id} instance={endpoint}")?;
            if let Some(timeout) = timeout {
                write!(out, " max-wait-s={}", seconds(*timeout))?;
            }
            writeln!(out)
        }
        Action::Reject { id, retry_after: Some(after), .. } => {
            writeln!(out, "DENY handle={id} retry-after-s={}", seconds(*after))
        }
        Action::Reject { id, retry_after: None, .. } => writeln!(out, "DENY handle={id}"),
        Action::Fail { id, .. } => writeln!(out, "FAIL handle={id}"),
        Action::CancelAttempt { id, attempt } => writeln!(out, "ABANDON handle={id} go={attempt}"),
        Action::CancelUnwrittenAttempt { .. } => Ok(()),
        Action::SetTimer { after, token } => {
            writeln!(out, "WAKE_ME delay-s={} handle={token}", seconds(*after))
        }
        Action::HealthCheck { endpoint } => writeln!(out, "SOUND_OUT instance={endpoint}"),
        Action::CloseIdleConnections { endpoint } => writeln!(out, "CLOSE_IDLE instance={endpoint}"),
        Action::SendPeerMessage { to, data } => {
            let target = to.map_or("*".to_string(), |peer| peer.to_string());
            writeln!(out, "WRITE_PEER target={target} payload={}", encode_bytes(data))
        }
        Action::WatchEndpoints { enabled } => writeln!(out, "SUBSCRIBE active={}", u8::from(*enabled)),
        Action::FetchEndpoints => writeln!(out, "PULL"),
        Action::CastVote { version, stage, verdict } => {
            writeln!(out, "BALLOT rel={version} wave={stage} how={}", verdict_code(*verdict))
        }
        Action::Log(event) => writeln!(out, "EMIT what={event}"),
    }
}

fn seconds(time: Millis) -> f64 {
    time / MS_PER_S
}

fn verdict_code(verdict: Verdict) -> u8 {
    match verdict {
        Verdict::Abstain => 0,
        Verdict::Promote => 1,
        Verdict::Pause => 2,
        Verdict::RollBack => 3,
    }
}

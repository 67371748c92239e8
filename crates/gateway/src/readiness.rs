//! Whether the gateway is ready for clients. A new process holds a list of unknown age: it answers the probe of the load
//! balancer in front once it has a confirmed list, or once it has waited long enough for one.

use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// A probe is answered after this time at the latest, list or no list: the first call for the list is made within 4 s, and
/// an answer takes a moment.
const MAX_PROBE_DELAY: Duration = Duration::from_millis(4500);

/// Tells that the gateway is ready.
pub struct ReadinessSender(watch::Sender<bool>);

/// Waits until the gateway is ready.
pub struct Readiness {
    is_ready: watch::Receiver<bool>,
    deadline: Instant,
}

/// A gateway that has just started.
pub fn readiness() -> (ReadinessSender, Readiness) {
    let (sender, is_ready) = watch::channel(false);
    (ReadinessSender(sender), Readiness { is_ready, deadline: Instant::now() + MAX_PROBE_DELAY })
}

impl ReadinessSender {
    /// The gateway holds a confirmed list. Later calls change nothing.
    pub fn set_ready(&self) {
        self.0.send_if_modified(|is_ready| !std::mem::replace(is_ready, true));
    }
}

impl Readiness {
    /// Waits until the gateway is ready, or has waited long enough.
    pub(crate) async fn wait(&self) {
        let mut is_ready = self.is_ready.clone();
        tokio::select! {
            _ = is_ready.wait_for(|is_ready| *is_ready) => {}
            () = sleep_until(self.deadline) => {}
        }
    }
}

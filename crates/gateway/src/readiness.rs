//! Whether the gateway responds to health checks of the load balancer in front. A new process starts with an endpoint
//! list of unknown age. The gateway is ready when the discovery service has confirmed the list, or after
//! [`MAX_READINESS_DELAY`].

use crate::limits::start::MAX_READINESS_DELAY;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// Reports that the endpoint list is confirmed, which makes the gateway ready.
pub struct ReadinessSender(watch::Sender<bool>);

/// Lets tasks wait until the gateway is ready.
pub struct Readiness {
    is_ready: watch::Receiver<bool>,
    deadline: Instant,
}

/// Creates the two ends that report and await the readiness of a gateway that starts now.
#[must_use]
pub fn readiness() -> (ReadinessSender, Readiness) {
    let (sender, is_ready) = watch::channel(false);
    (ReadinessSender(sender), Readiness { is_ready, deadline: Instant::now() + MAX_READINESS_DELAY })
}

impl ReadinessSender {
    /// Reports that the endpoint list is confirmed. Only the first call has an effect.
    pub fn set_ready(&self) {
        self.0.send_if_modified(|is_ready| !std::mem::replace(is_ready, true));
    }
}

impl Readiness {
    /// Waits until the endpoint list is confirmed, at most [`MAX_READINESS_DELAY`] from the start.
    pub(crate) async fn wait(&self) {
        let mut is_ready = self.is_ready.clone();
        tokio::select! {
            _ = is_ready.wait_for(|is_ready| *is_ready) => {}
            () = sleep_until(self.deadline) => {}
        }
    }
}

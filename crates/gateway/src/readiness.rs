//! Whether the gateway answers health checks of the load balancer in front. A new process has an endpoint list of
//! unknown age: it answers once a watch has confirmed the list, or after [`MAX_READINESS_DELAY`].

use crate::limits::start::MAX_READINESS_DELAY;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// Reports that the gateway is ready.
pub struct ReadinessSender(watch::Sender<bool>);

/// Waits until the gateway is ready.
pub struct Readiness {
    is_ready: watch::Receiver<bool>,
    deadline: Instant,
}

/// The readiness of a gateway that starts now.
#[must_use]
pub fn readiness() -> (ReadinessSender, Readiness) {
    let (sender, is_ready) = watch::channel(false);
    (ReadinessSender(sender), Readiness { is_ready, deadline: Instant::now() + MAX_READINESS_DELAY })
}

impl ReadinessSender {
    /// The endpoint list is confirmed. Later calls change nothing.
    pub fn set_ready(&self) {
        self.0.send_if_modified(|is_ready| !std::mem::replace(is_ready, true));
    }
}

impl Readiness {
    /// Waits until the gateway is ready, or until its deadline.
    pub(crate) async fn wait(&self) {
        let mut is_ready = self.is_ready.clone();
        tokio::select! {
            _ = is_ready.wait_for(|is_ready| *is_ready) => {}
            () = sleep_until(self.deadline) => {}
        }
    }
}

//! Executes the commands of a discovery client, with one task for each call.

use super::{DriverEvent, discovery_calls};
use crate::discovery::calls::{CallId, DiscoveryCommand};
use std::collections::BTreeMap;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

/// The tasks of calls to the discovery service. Use within a `LocalSet`.
pub struct DiscoveryTasks {
    /// With tasks that have finished since the start of the latest call.
    tasks: BTreeMap<CallId, AbortHandle>,
    events: mpsc::Sender<DriverEvent>,
}

impl DiscoveryTasks {
    /// Starts without tasks. Each task sends its results to `events`.
    #[must_use]
    pub fn new(events: mpsc::Sender<DriverEvent>) -> Self {
        DiscoveryTasks { tasks: BTreeMap::new(), events }
    }

    /// Starts and aborts calls in the order of `commands`. An aborted call may still have results in the queue of
    /// events.
    pub fn run(&mut self, commands: Vec<DiscoveryCommand>) {
        for command in commands {
            match command {
                DiscoveryCommand::StartWatch { call, address, after_version } => {
                    let events = self.events.clone();
                    self.spawn(call, discovery_calls::watch(address, after_version, call, events));
                }
                DiscoveryCommand::StartFetch { call, address } => {
                    self.spawn(call, discovery_calls::fetch(address, call, self.events.clone()));
                }
                DiscoveryCommand::Abort { call } => self.abort(call),
            }
        }
    }

    /// Returns `true` if no task of this call is running: the call has sent its last result, was aborted, or never
    /// started.
    #[must_use]
    pub fn is_finished(&self, call: CallId) -> bool {
        self.tasks.get(&call).is_none_or(AbortHandle::is_finished)
    }

    fn spawn(&mut self, call: CallId, task: impl Future<Output = ()> + 'static) {
        self.tasks.retain(|_, task| !task.is_finished());
        self.tasks.insert(call, tokio::task::spawn_local(task).abort_handle());
    }

    fn abort(&self, call: CallId) {
        if let Some(task) = self.tasks.get(&call) {
            task.abort();
        }
    }
}

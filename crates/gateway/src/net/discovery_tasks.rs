//! Carries out the commands of a discovery client: one task per call.

use super::{DriverEvent, list};
use crate::discovery::calls::{CallId, DiscoveryCommand};
use std::collections::BTreeMap;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

/// The tasks of calls for the endpoint list, within a `LocalSet`.
pub struct DiscoveryTasks {
    /// Finished tasks are dropped when the next call starts.
    tasks: BTreeMap<CallId, AbortHandle>,
    notes: mpsc::Sender<DriverEvent>,
}

impl DiscoveryTasks {
    /// No tasks yet; their answers go to `notes`.
    pub fn new(notes: mpsc::Sender<DriverEvent>) -> Self {
        DiscoveryTasks { tasks: BTreeMap::new(), notes }
    }

    /// Starts and aborts calls, in the order given.
    pub fn run(&mut self, commands: Vec<DiscoveryCommand>) {
        for command in commands {
            match command {
                DiscoveryCommand::StartWatch { call, address, after_version } => {
                    self.spawn(call, list::watch(address, after_version, call, self.notes.clone()));
                }
                DiscoveryCommand::StartFetch { call, address } => {
                    self.spawn(call, list::fetch(address, call, self.notes.clone()));
                }
                DiscoveryCommand::Abort { call } => self.abort(call),
            }
        }
    }

    /// The call's task has ended.
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

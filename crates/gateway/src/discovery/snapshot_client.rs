//! The control plane's client of the discovery service, which first fetches a snapshot and then watches from the
//! snapshot's version. Every list of a current call is passed on, and the owner of the client decides which lists are
//! newer.

use super::calls::{CallId, CallStarter, DiscoveryCommand};
use std::net::SocketAddr;

/// The calls for the endpoint list, and the version from which the next watch starts.
#[derive(Debug)]
pub struct SnapshotFirstClient {
    starter: CallStarter,
    /// The version of the last list that was passed on, and 0 until a snapshot was received.
    current_version: u64,
    watch: Option<CallId>,
    fetch: Option<CallId>,
}

impl SnapshotFirstClient {
    /// Creates a client without a list and without calls.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        SnapshotFirstClient {
            starter: CallStarter::new(address),
            current_version: 0,
            watch: None,
            fetch: None,
        }
    }

    /// Returns the commands that were recorded since the last call of this method.
    pub fn take_commands(&mut self) -> Vec<DiscoveryCommand> {
        self.starter.take_commands()
    }

    /// Aborts the watch. If `enabled`, starts a new watch, or a fetch if no snapshot was received yet.
    pub fn set_watch(&mut self, enabled: bool) {
        if let Some(watch) = self.watch.take() {
            self.starter.abort(watch);
        }
        if !enabled {
            return;
        }
        if self.current_version == 0 {
            self.fetch();
        } else {
            self.start_watch();
        }
    }

    /// Starts a fetch of a snapshot, and aborts an earlier fetch.
    pub fn fetch(&mut self) {
        let call = self.starter.start_fetch();
        if let Some(replaced) = self.fetch.replace(call) {
            self.starter.abort(replaced);
        }
    }

    /// Handles a list that a call has delivered, and starts the watch after the first snapshot. Returns `true` if the
    /// owner has to process the list, and `false` if the call is not current.
    pub fn on_list(&mut self, call: CallId, version: u64, is_snapshot: bool) -> bool {
        if !self.is_current(call) {
            return false;
        }
        let is_first = self.current_version == 0 && is_snapshot;
        if is_snapshot || self.current_version > 0 {
            self.current_version = version;
        }
        if is_first {
            self.start_watch();
        }
        true
    }

    /// Returns `true` if the owner has to be notified that this call failed or that this watch was closed.
    #[must_use]
    pub fn on_failure(&self, call: CallId) -> bool {
        self.is_current(call)
    }

    fn start_watch(&mut self) {
        let call = self.starter.start_watch(self.current_version);
        if let Some(replaced) = self.watch.replace(call) {
            self.starter.abort(replaced);
        }
    }

    fn is_current(&self, call: CallId) -> bool {
        self.watch == Some(call) || self.fetch == Some(call)
    }
}

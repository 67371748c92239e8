//! The gateway's client of the discovery service. It watches from the current version, and applies a list only if it is
//! newer. When the service's address changes, the previous watch continues until the new one has delivered a list.

use super::calls::{CallId, CallStarter, DiscoveryCommand};
use super::list_version::{ReceivedVersion, VersionOrder, compare_versions};
use std::net::SocketAddr;

/// A call that was started and not replaced by another one.
#[derive(Clone, Copy, Debug)]
struct ActiveCall {
    id: CallId,
    has_delivered: bool,
    /// The number of lists that were applied before it was started, or before it last delivered one.
    lists_seen: u64,
}

/// What is to be done with a list that a call has delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListDecision {
    /// The call was replaced: the list is ignored.
    Ignored,
    /// The list is newer: it is to be applied.
    Apply,
    /// The list is not newer, and its call is aborted.
    Discard {
        /// The call is current: the policy has to be notified of its failure.
        is_current: bool,
    },
}

/// The calls for the endpoint list, and the version of the current list.
#[derive(Debug)]
pub struct EndpointListClient {
    starter: CallStarter,
    current_version: u64,
    lists_applied: u64,
    watch: Option<ActiveCall>,
    fetch: Option<ActiveCall>,
    /// The watch at a previous address, until the new watch has delivered a list.
    previous_watch: Option<ActiveCall>,
}

impl EndpointListClient {
    /// A client without a list and without calls.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        EndpointListClient {
            starter: CallStarter::new(address),
            current_version: 0,
            lists_applied: 0,
            watch: None,
            fetch: None,
            previous_watch: None,
        }
    }

    /// The version of the current list; 0 if the next watch is to request all endpoints.
    #[must_use]
    pub fn current_version(&self) -> u64 {
        self.current_version
    }

    /// The commands recorded since the last call of this method.
    pub fn take_commands(&mut self) -> Vec<DiscoveryCommand> {
        self.starter.take_commands()
    }

    /// Sets the version of a list that no call has delivered.
    pub fn restore(&mut self, version: u64) {
        self.current_version = version;
        self.lists_applied += 1;
    }

    /// Aborts the watch, and starts a new one if `enabled`.
    pub fn set_watch(&mut self, enabled: bool) {
        if let Some(watch) = self.watch.take() {
            self.starter.abort(watch.id);
        }
        if enabled {
            self.start_watch();
        }
    }

    /// Fetches a snapshot; replaces an earlier fetch.
    pub fn fetch(&mut self) {
        let id = self.starter.start_fetch();
        let replaced = self.fetch.replace(self.active_call(id));
        if let Some(replaced) = replaced {
            self.starter.abort(replaced.id);
        }
    }

    /// A call has delivered a list.
    pub fn on_list(&mut self, call: CallId, version: u64, is_snapshot: bool) -> ListDecision {
        let Some(lists_seen) = self.find(call).map(|active| active.lists_seen) else {
            return ListDecision::Ignored;
        };
        let is_overtaken = lists_seen < self.lists_applied;
        let received = ReceivedVersion { version, is_snapshot, is_overtaken };
        match compare_versions(self.current_version, received) {
            VersionOrder::Newer => {
                self.apply(call, version);
                return ListDecision::Apply;
            }
            VersionOrder::Stale => {}
            // The delta refers to an unknown list: the next watch has to request all endpoints.
            VersionOrder::Gap => self.current_version = 0,
        }
        // The call stays the current one until the policy, notified of its failure, starts another watch.
        self.starter.abort(call);
        ListDecision::Discard { is_current: self.is_current(call) }
    }

    /// A call has failed, or a watch has ended. True if the policy has to be notified.
    #[must_use]
    pub fn on_failure(&self, call: CallId) -> bool {
        self.is_current(call)
    }

    /// The discovery service has moved: unfinished calls are immediately repeated at the new address. False: the address
    /// is unchanged.
    pub fn on_address_changed(&mut self, address: SocketAddr, is_finished: impl Fn(CallId) -> bool) -> bool {
        if !self.starter.set_address(address) {
            return false;
        }
        if let Some(watch) = self.watch.take() {
            self.continue_delivering_watch(watch, &is_finished);
            self.start_watch();
        }
        if self.fetch.is_some_and(|fetch| !is_finished(fetch.id)) {
            self.fetch();
        }
        true
    }

    /// Of two watches the one that has delivered continues: the other one may never deliver.
    fn continue_delivering_watch(&mut self, watch: ActiveCall, is_finished: impl Fn(CallId) -> bool) {
        let previous = self.previous_watch.take().filter(|previous| !is_finished(previous.id));
        let (continued, ended) = match previous {
            Some(previous) if !watch.has_delivered => (previous, Some(watch)),
            previous => (watch, previous),
        };
        if let Some(ended) = ended {
            self.starter.abort(ended.id);
        }
        self.previous_watch = Some(continued);
    }

    fn apply(&mut self, call: CallId, version: u64) {
        self.current_version = version;
        self.lists_applied += 1;
        let lists_applied = self.lists_applied;
        if let Some(active) = self.find(call) {
            active.has_delivered = true;
            active.lists_seen = lists_applied;
        }
        // Both watches would deliver the same lists, and the previous one later.
        if self.is_current(call)
            && let Some(previous) = self.previous_watch.take()
        {
            self.starter.abort(previous.id);
        }
    }

    fn start_watch(&mut self) {
        let id = self.starter.start_watch(self.current_version);
        self.watch = Some(self.active_call(id));
    }

    fn active_call(&self, id: CallId) -> ActiveCall {
        ActiveCall { id, has_delivered: false, lists_seen: self.lists_applied }
    }

    /// True for the watch and the fetch that were started last.
    #[must_use]
    pub fn is_current(&self, call: CallId) -> bool {
        [self.watch, self.fetch].into_iter().flatten().any(|active| active.id == call)
    }

    fn find(&mut self, call: CallId) -> Option<&mut ActiveCall> {
        let calls = [&mut self.watch, &mut self.fetch, &mut self.previous_watch];
        calls.into_iter().flatten().find(|active| active.id == call)
    }
}

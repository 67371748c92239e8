//! The gateway's client of the discovery service, which watches from the current version and applies a list only if the
//! list is newer. When the service's address changes, the previous watch continues until the new watch has delivered a
//! list.

use super::calls::{CallId, CallStarter, DiscoveryCommand};
use super::list_version::{ReceivedVersion, VersionOrder, compare_versions};
use std::net::SocketAddr;

/// A call that was started and not replaced by another one.
#[derive(Clone, Copy, Debug)]
struct TrackedCall {
    id: CallId,
    has_delivered: bool,
    /// The value of [`EndpointListClient::lists_applied`] when the call was started or after its last list was applied.
    lists_applied: u64,
}

/// What the gateway does with a list that a call has delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListDecision {
    /// The list is ignored, because its call was replaced or its watch was disabled.
    Ignored,
    /// The list is applied, because it is newer.
    Apply,
    /// The list is discarded, because it is not newer. The client aborts the call.
    Discard {
        /// Set when the call is current, so that the policy has to be notified of the call's failure.
        is_current: bool,
    },
}

/// The calls for the endpoint list, and the version of the current list.
#[derive(Debug)]
pub struct EndpointListClient {
    starter: CallStarter,
    current_version: u64,
    /// The number of lists that were applied, including the restored one.
    lists_applied: u64,
    watch: Option<TrackedCall>,
    fetch: Option<TrackedCall>,
    /// The watch at a previous address, until the new watch has delivered a list.
    previous_watch: Option<TrackedCall>,
}

impl EndpointListClient {
    /// Creates a client without a list and without calls.
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

    /// The version of the current list. 0 if there is no list, or if the next watch has to request all endpoints.
    #[must_use]
    pub fn current_version(&self) -> u64 {
        self.current_version
    }

    /// Returns the commands that were recorded since the last call of this method.
    pub fn take_commands(&mut self) -> Vec<DiscoveryCommand> {
        self.starter.take_commands()
    }

    /// Sets the version of the cached list with which the gateway starts.
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

    /// Starts a fetch of a snapshot, and aborts an earlier fetch.
    pub fn fetch(&mut self) {
        let id = self.starter.start_fetch();
        let replaced = self.fetch.replace(self.tracked_call(id));
        if let Some(replaced) = replaced {
            self.starter.abort(replaced.id);
        }
    }

    /// Decides about a list that a call has delivered.
    pub fn on_list(&mut self, call: CallId, version: u64, is_snapshot: bool) -> ListDecision {
        let Some(lists_applied) = self.find(call).map(|tracked| tracked.lists_applied) else {
            return ListDecision::Ignored;
        };
        let is_overtaken = lists_applied < self.lists_applied;
        let received = ReceivedVersion { version, is_snapshot, is_overtaken };
        match compare_versions(self.current_version, received) {
            VersionOrder::Newer => {
                self.apply(call, version);
                return ListDecision::Apply;
            }
            VersionOrder::Stale => {}
            // The next watch has to request all endpoints, because the delta refers to an unknown list.
            VersionOrder::Gap => self.current_version = 0,
        }
        // A current call remains current until the policy, which is notified of its failure, starts another call.
        self.starter.abort(call);
        ListDecision::Discard { is_current: self.is_current(call) }
    }

    /// Returns `true` if the policy has to be notified that this call failed or that this watch was closed.
    #[must_use]
    pub fn on_failure(&self, call: CallId) -> bool {
        self.is_current(call)
    }

    /// Sets the address of the discovery service, and immediately repeats unfinished calls at a new address. Returns
    /// `false` if the address is unchanged.
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

    /// Lets one watch at a previous address continue. If there are two, the one that has delivered a list continues,
    /// because the other one may never deliver.
    fn continue_delivering_watch(&mut self, watch: TrackedCall, is_finished: impl Fn(CallId) -> bool) {
        let previous = self.previous_watch.take().filter(|previous| !is_finished(previous.id));
        let (continued, aborted) = match previous {
            Some(previous) if !watch.has_delivered => (previous, Some(watch)),
            previous => (watch, previous),
        };
        if let Some(aborted) = aborted {
            self.starter.abort(aborted.id);
        }
        self.previous_watch = Some(continued);
    }

    fn apply(&mut self, call: CallId, version: u64) {
        self.current_version = version;
        self.lists_applied += 1;
        let lists_applied = self.lists_applied;
        if let Some(tracked) = self.find(call) {
            tracked.has_delivered = true;
            tracked.lists_applied = lists_applied;
        }
        // The previous watch would deliver the same lists as the current one, but later.
        if self.is_current(call)
            && let Some(previous) = self.previous_watch.take()
        {
            self.starter.abort(previous.id);
        }
    }

    fn start_watch(&mut self) {
        let id = self.starter.start_watch(self.current_version);
        self.watch = Some(self.tracked_call(id));
    }

    fn tracked_call(&self, id: CallId) -> TrackedCall {
        TrackedCall { id, has_delivered: false, lists_applied: self.lists_applied }
    }

    /// Returns `true` for the watch and the fetch that were started last, also when they have failed.
    #[must_use]
    pub fn is_current(&self, call: CallId) -> bool {
        [self.watch, self.fetch].into_iter().flatten().any(|tracked| tracked.id == call)
    }

    fn find(&mut self, call: CallId) -> Option<&mut TrackedCall> {
        let calls = [&mut self.watch, &mut self.fetch, &mut self.previous_watch];
        calls.into_iter().flatten().find(|tracked| tracked.id == call)
    }
}

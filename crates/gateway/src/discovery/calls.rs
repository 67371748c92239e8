//! Identities of calls for the endpoint list, and the commands that start and abort them.

use std::net::SocketAddr;

/// Identifies a call of an endpoint list client to the discovery service. Ids are assigned in ascending order, and the first is 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// A command to the driver, which executes commands in the order in which they were recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryCommand {
    /// Starts a watch, which delivers the changes after a version.
    StartWatch {
        /// A new id.
        call: CallId,
        /// Where to send the request.
        address: SocketAddr,
        /// The version of the current list. If 0, the watch first delivers a snapshot.
        after_version: u64,
    },
    /// Starts a call that delivers a single snapshot.
    StartFetch {
        /// A new id.
        call: CallId,
        /// Where to send the request.
        address: SocketAddr,
    },
    /// Aborts a call. Has no effect if the call has completed already.
    Abort {
        /// The id from an earlier start command.
        call: CallId,
    },
}

/// Assigns ids and records commands until the driver takes them.
#[derive(Debug)]
pub(super) struct CallStarter {
    address: SocketAddr,
    last_call: CallId,
    commands: Vec<DiscoveryCommand>,
}

impl CallStarter {
    pub(super) fn new(address: SocketAddr) -> Self {
        CallStarter { address, last_call: CallId(0), commands: Vec::new() }
    }

    pub(super) fn start_watch(&mut self, after_version: u64) -> CallId {
        let call = self.next_id();
        self.commands.push(DiscoveryCommand::StartWatch { call, address: self.address, after_version });
        call
    }

    pub(super) fn start_fetch(&mut self) -> CallId {
        let call = self.next_id();
        self.commands.push(DiscoveryCommand::StartFetch { call, address: self.address });
        call
    }

    pub(super) fn abort(&mut self, call: CallId) {
        self.commands.push(DiscoveryCommand::Abort { call });
    }

    /// Sets the address for later calls. Returns `false` if the address is unchanged.
    pub(super) fn set_address(&mut self, address: SocketAddr) -> bool {
        let has_changed = self.address != address;
        self.address = address;
        has_changed
    }

    pub(super) fn take_commands(&mut self) -> Vec<DiscoveryCommand> {
        std::mem::take(&mut self.commands)
    }

    fn next_id(&mut self) -> CallId {
        self.last_call = CallId(self.last_call.0 + 1);
        self.last_call
    }
}

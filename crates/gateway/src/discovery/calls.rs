//! Identities of calls for the endpoint list, and the commands that start and abort them.

use std::net::SocketAddr;

/// Identifies a call; later calls of a client have greater ids, the first has 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// A command to the driver. Commands are executed in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryCommand {
    /// Start a watch of changes after a version; version 0 requests all endpoints.
    StartWatch {
        /// The call's id.
        call: CallId,
        /// The discovery service.
        address: SocketAddr,
        /// The version of the current list.
        after_version: u64,
    },
    /// Start a single call for a snapshot.
    StartFetch {
        /// The call's id.
        call: CallId,
        /// The discovery service.
        address: SocketAddr,
    },
    /// Abort a call. It may have ended already.
    Abort {
        /// The call's id.
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

    /// Sets the address of later calls. False: it is unchanged.
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

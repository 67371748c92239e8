//! Writes states on a thread of its own. Of the states passed during a write only the newest is written next.

use super::database::write_state;
use super::record::PersistedState;
use crate::limits::STATE_WRITE_INTERVAL;
use redb::Database;
use std::path::PathBuf;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;

/// Passes states to the writing thread. After the drop, which does not wait, the thread writes the last state and
/// ends.
pub struct StateWriter {
    mailbox: Arc<Mailbox>,
}

impl StateWriter {
    pub(super) fn start(database: Database, path: PathBuf) -> Self {
        let mailbox = Arc::new(Mailbox::default());
        let thread =
            WriterThread { database, path, mailbox: mailbox.clone(), is_failing: false, has_written: false };
        thread::spawn(move || thread.run());
        StateWriter { mailbox }
    }

    /// Queues a state in place of an earlier one that was not written yet. Does not block on the disk.
    pub fn persist(&self, state: PersistedState) {
        self.mailbox.update(|pending| pending.newest = Some(state));
    }
}

impl Drop for StateWriter {
    fn drop(&mut self) {
        self.mailbox.update(|pending| pending.is_closed = true);
    }
}

/// The next work of the thread.
#[derive(Default)]
struct PendingWrite {
    newest: Option<PersistedState>,
    /// The writer was dropped.
    is_closed: bool,
}

#[derive(Default)]
struct Mailbox {
    pending: Mutex<PendingWrite>,
    changed: Condvar,
}

impl Mailbox {
    fn update(&self, change: impl FnOnce(&mut PendingWrite)) {
        change(&mut self.lock());
        self.changed.notify_one();
    }

    /// Waits for a state or for the end of the writer; removes the state.
    fn take(&self) -> PendingWrite {
        let mut pending = self.lock();
        while pending.newest.is_none() && !pending.is_closed {
            pending = self.changed.wait(pending).unwrap_or_else(PoisonError::into_inner);
        }
        PendingWrite { newest: pending.newest.take(), is_closed: pending.is_closed }
    }

    fn lock(&self) -> MutexGuard<'_, PendingWrite> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

struct WriterThread {
    database: Database,
    path: PathBuf,
    mailbox: Arc<Mailbox>,
    /// The last write failed.
    is_failing: bool,
    has_written: bool,
}

impl WriterThread {
    fn run(mut self) {
        loop {
            let pending = self.mailbox.take();
            if let Some(state) = pending.newest {
                self.write(&state);
            }
            if pending.is_closed {
                return;
            }
            thread::sleep(STATE_WRITE_INTERVAL);
        }
    }

    /// Logs the first success, and the first of consecutive failures: a full disk must not fill the log.
    fn write(&mut self, state: &PersistedState) {
        match write_state(&self.database, state) {
            Ok(()) => {
                if !self.has_written {
                    tracing::info!(path = %self.path.display(), "state store: written");
                }
                self.has_written = true;
                self.is_failing = false;
            }
            Err(error) => {
                if !self.is_failing {
                    tracing::warn!(path = %self.path.display(), %error, "state store: write failed");
                }
                self.is_failing = true;
            }
        }
    }
}

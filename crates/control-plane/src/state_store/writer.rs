//! Writes states on a separate thread. Of the states that are queued during a write, only the newest is written next.

use super::database::write_state;
use super::record::PersistedState;
use crate::limits::STATE_WRITE_INTERVAL;
use redb::Database;
use std::path::PathBuf;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;

/// Passes states to the thread that writes them. After a drop, which does not wait for the disk, the thread writes
/// the last queued state and exits.
pub struct StateWriter {
    queue: Arc<WriteQueue>,
}

impl StateWriter {
    /// Starts the thread. `path` is used in log lines only.
    pub(super) fn start(database: Database, path: PathBuf) -> Self {
        let queue = Arc::new(WriteQueue::default());
        let thread =
            WriterThread { database, path, queue: queue.clone(), is_failing: false, has_written: false };
        thread::spawn(move || thread.run());
        StateWriter { queue }
    }

    /// Queues a state and replaces an earlier one that was not written yet. Does not wait for the disk.
    pub fn persist(&self, state: PersistedState) {
        self.queue.update(|pending| pending.newest = Some(state));
    }
}

impl Drop for StateWriter {
    fn drop(&mut self) {
        self.queue.update(|pending| pending.is_closed = true);
    }
}

/// What the thread has to do next.
#[derive(Default)]
struct PendingWrite {
    newest: Option<PersistedState>,
    /// Set when the [`StateWriter`] was dropped.
    is_closed: bool,
}

/// The queue between the writer and its thread. Contains one state at most: a newer one replaces it.
#[derive(Default)]
struct WriteQueue {
    pending: Mutex<PendingWrite>,
    changed: Condvar,
}

impl WriteQueue {
    fn update(&self, change: impl FnOnce(&mut PendingWrite)) {
        change(&mut self.lock());
        self.changed.notify_one();
    }

    /// Waits until a state is queued or the writer is dropped, and removes the state from the queue.
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
    queue: Arc<WriteQueue>,
    /// Set while the last write failed.
    is_failing: bool,
    /// Set when a write has succeeded.
    has_written: bool,
}

impl WriterThread {
    fn run(mut self) {
        loop {
            let pending = self.queue.take();
            if let Some(state) = pending.newest {
                self.write(&state);
            }
            if pending.is_closed {
                return;
            }
            thread::sleep(STATE_WRITE_INTERVAL);
        }
    }

    /// Writes a state. Only the first success and the first of consecutive failures are logged, so that a full disk
    /// does not flood the log.
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

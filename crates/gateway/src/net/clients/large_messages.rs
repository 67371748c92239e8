//! The memory for large messages, shared by all clients: from their arrival until their request needs them no more.
//!
//! Problem: the memory is limited, and a client may stop within a large message and stay, or send the rest slowly. It
//! must not deprive the others of it, whose requests have a deadline. A complete message stays in memory while its request
//! is pending, so that many requests together could exceed the limit.
//!
//! Method: a client reserves memory for its complete message before more than the read-ahead is read, in the order of
//! arrival. While others wait, a client has a bounded time for its message and is preempted after that; without
//! others, only the timeout of a message applies. The statement of a complete message retains the part of the reservation
//! that it occupies. No client waits longer than a bounded time either.

use crate::counters::COUNTERS;
use crate::limits::clients::{LARGE_MESSAGE_TIME, LARGE_MESSAGE_WAIT, MEMORY_UNIT_BYTES};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use tokio::select;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, sleep_until, timeout};

/// The memory for large messages, and who has reserved a part of it.
pub(super) struct LargeMessages {
    /// Free memory, in units of [`MEMORY_UNIT_BYTES`].
    free: Arc<Semaphore>,
    units: u32,
    /// The reservations, in the order in which they were made.
    reservations: RefCell<BTreeMap<u64, Rc<Reservation>>>,
    next_number: Cell<u64>,
}

struct Reservation {
    began: Instant,
    is_preempted: Cell<bool>,
    /// Wakes the client's task after a preemption.
    preempted: Notify,
}

/// Memory for one message that is not complete yet. Released when dropped.
pub(super) struct MessageMemory<'a> {
    messages: &'a LargeMessages,
    number: u64,
    reservation: Rc<Reservation>,
    units: Option<OwnedSemaphorePermit>,
}

/// Memory for one complete message, or for what is stored of it. Released when dropped.
pub(super) struct OwnedMemory(OwnedSemaphorePermit);

impl OwnedMemory {
    /// Releases all but this number of bytes.
    pub(super) fn shrink_to(mut self, bytes: usize) -> Self {
        let excess = self.0.num_permits().saturating_sub(bytes.div_ceil(MEMORY_UNIT_BYTES));
        drop(self.0.split(excess));
        self
    }
}

impl LargeMessages {
    /// Memory of `bytes`, at least for one message of any valid length.
    pub(super) fn new(bytes: usize) -> Self {
        let units = u32::try_from(bytes / MEMORY_UNIT_BYTES).unwrap_or(u32::MAX);
        LargeMessages {
            free: Arc::new(Semaphore::new(units as usize)),
            units,
            reservations: RefCell::default(),
            next_number: Cell::new(0),
        }
    }

    /// Reserves memory for a message of this length if it is available and no other client waits.
    pub(super) fn try_reserve(&self, length: usize) -> Option<MessageMemory<'_>> {
        let units = self.free.clone().try_acquire_many_owned(self.units_for(length)).ok()?;
        Some(self.add_reservation(units))
    }

    /// Waits until memory for a message of this length is reserved. Preempts clients that have had theirs for too long.
    /// `None` after [`LARGE_MESSAGE_WAIT`].
    pub(super) async fn reserve(&self, length: usize) -> Option<MessageMemory<'_>> {
        COUNTERS.large_messages_delayed_total.increment();
        timeout(LARGE_MESSAGE_WAIT, self.reserve_by_preemption(length)).await.ok().flatten()
    }

    async fn reserve_by_preemption(&self, length: usize) -> Option<MessageMemory<'_>> {
        let mut acquiring = pin!(self.free.clone().acquire_many_owned(self.units_for(length)));
        loop {
            select! {
                biased;
                units = &mut acquiring => return units.ok().map(|units| self.add_reservation(units)),
                () = sleep_until(self.next_preemption()) => self.preempt_slow_clients(),
            }
        }
    }

    fn units_for(&self, length: usize) -> u32 {
        let units = u32::try_from(length.div_ceil(MEMORY_UNIT_BYTES)).unwrap_or(u32::MAX);
        units.min(self.units)
    }

    fn add_reservation(&self, units: OwnedSemaphorePermit) -> MessageMemory<'_> {
        let number = self.next_number.replace(self.next_number.get() + 1);
        let reservation = Rc::new(Reservation {
            began: Instant::now(),
            is_preempted: Cell::new(false),
            preempted: Notify::new(),
        });
        self.reservations.borrow_mut().insert(number, reservation.clone());
        MessageMemory { messages: self, number, reservation, units: Some(units) }
    }

    /// When the oldest reservation that is not preempted has lasted for [`LARGE_MESSAGE_TIME`].
    fn next_preemption(&self) -> Instant {
        let reservations = self.reservations.borrow();
        let oldest = reservations.values().find(|reservation| !reservation.is_preempted.get());
        oldest.map_or_else(Instant::now, |reservation| reservation.began) + LARGE_MESSAGE_TIME
    }

    fn preempt_slow_clients(&self) {
        let now = Instant::now();
        for reservation in self.reservations.borrow().values() {
            let is_slow = now.saturating_duration_since(reservation.began) >= LARGE_MESSAGE_TIME;
            if is_slow && !reservation.is_preempted.replace(true) {
                COUNTERS.large_messages_preempted_total.increment();
                reservation.preempted.notify_one();
            }
        }
    }
}

impl MessageMemory<'_> {
    /// Waits until another client needs the memory and this one has had it for too long.
    pub(super) async fn preempted(&self) {
        while !self.reservation.is_preempted.get() {
            self.reservation.preempted.notified().await;
        }
    }

    /// The memory of the message, which is complete: it cannot be preempted any more.
    pub(super) fn into_owned(mut self) -> Option<OwnedMemory> {
        self.units.take().map(OwnedMemory)
    }
}

impl Drop for MessageMemory<'_> {
    fn drop(&mut self) {
        self.messages.reservations.borrow_mut().remove(&self.number);
    }
}

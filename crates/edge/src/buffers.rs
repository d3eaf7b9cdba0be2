//! Memory in which requests and answers are buffered: counted against a share of the VM's memory, and
//! taken back where it is used up.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use lapismoor_core::admission::{BufferBudget, BufferId, BufferOwner, Growth, Reservation};
use lapismoor_core::{Clock, Moment};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

/// Capacity of the first segment of a buffer, at least.
const MIN_SEGMENT_BYTES: usize = 1 << 10;
/// Capacity of the later segments of a buffer.
const SEGMENT_BYTES: usize = 64 << 10;
/// Largest part of an answer that is handed out at once. Whoever gets it makes a copy.
const PART_BYTES: usize = 8 << 10;
/// Time between two looks for buffers that may give way, as callers stop to read without a sign.
const ROOM_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A buffer had to give way because the memory for all buffers is used up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct OutOfMemory;

/// Takes the memory of a buffer back.
type Evict = Rc<dyn Fn()>;

/// What a buffer is told.
struct Signals {
    evict: Evict,
    /// Notified when the buffer gets the bytes that it waits for.
    granted: Rc<Notify>,
}

/// The buffers of one kind: of requests, or of answers.
pub(crate) struct Buffers {
    /// Name of the kind in logs.
    kind: &'static str,
    clock: Clock,
    budget: RefCell<BufferBudget>,
    /// Invariant: sorted by buffer.
    signals: RefCell<Vec<(BufferId, Signals)>>,
}

impl Buffers {
    /// Buffers of the kind `kind`, within `budget`.
    pub(crate) fn new(kind: &'static str, budget: BufferBudget, clock: Clock) -> Rc<Self> {
        Rc::new(Self {
            kind,
            clock,
            budget: RefCell::new(budget),
            signals: RefCell::default(),
        })
    }

    /// Bytes of all buffers.
    pub(crate) fn used_bytes(&self) -> usize {
        self.budget.borrow().used_bytes()
    }

    /// Opens an empty buffer.
    pub(crate) fn open(self: &Rc<Self>, owner: BufferOwner, growth: Growth) -> BufferLease {
        let id = self.budget.borrow_mut().open(self.now(), owner, growth);
        let evicted = CancellationToken::new();
        let for_eviction = evicted.clone();
        let evict: Evict = Rc::new(move || for_eviction.cancel());
        let granted = Rc::new(Notify::new());
        let signals = Signals {
            evict,
            granted: Rc::clone(&granted),
        };
        // Ids ascend, so that the list stays sorted.
        self.signals.borrow_mut().push((id, signals));
        BufferLease {
            buffers: Rc::clone(self),
            id,
            evicted,
            granted,
        }
    }

    fn now(&self) -> Moment {
        self.clock.now()
    }

    fn set_eviction(&self, id: BufferId, evict: Evict) {
        let mut signals = self.signals.borrow_mut();
        if let Ok(position) = signals.binary_search_by_key(&id, |(id, _)| *id) {
            signals[position].1.evict = evict;
        }
    }

    fn evict(&self, id: BufferId) {
        let evict = {
            let signals = self.signals.borrow();
            let position = signals.binary_search_by_key(&id, |(id, _)| *id);
            position.map(|position| Rc::clone(&signals[position].1.evict))
        };
        if let Ok(evict) = evict {
            evict();
        }
    }

    fn close(&self, id: BufferId) {
        self.budget.borrow_mut().close(id);
        {
            let mut signals = self.signals.borrow_mut();
            if let Ok(position) = signals.binary_search_by_key(&id, |(id, _)| *id) {
                signals.remove(position);
            }
        }
        self.grant();
    }

    /// Gives free memory to the buffers that wait for it.
    fn grant(&self) {
        let granted = self.budget.borrow_mut().grant();
        let signals = self.signals.borrow();
        for id in granted {
            if let Ok(position) = signals.binary_search_by_key(&id, |(id, _)| *id) {
                signals[position].1.granted.notify_one();
            }
        }
    }
}

/// The memory of one buffer, given back when dropped. It is dropped together with the buffer.
pub(crate) struct BufferLease {
    buffers: Rc<Buffers>,
    id: BufferId,
    /// Cancelled when the buffer has to give way.
    evicted: CancellationToken,
    granted: Rc<Notify>,
}

impl Drop for BufferLease {
    fn drop(&mut self) {
        self.buffers.close(self.id);
    }
}

impl BufferLease {
    /// Reserves more memory; waits for that of buffers that give way.
    ///
    /// # Errors
    /// [`OutOfMemory`] if this buffer has to give way.
    pub(crate) async fn reserve(&self, additional_bytes: usize) -> Result<(), OutOfMemory> {
        let buffers = &self.buffers;
        loop {
            let now = buffers.now();
            let reservation = {
                let mut budget = buffers.budget.borrow_mut();
                budget.reserve(now, self.id, additional_bytes)
            };
            let evicted = match reservation {
                Reservation::Granted => return Ok(()),
                Reservation::Refused => {
                    self.log_eviction(self.id);
                    return Err(OutOfMemory);
                }
                Reservation::Wait { evicted } => evicted,
            };
            for id in evicted {
                self.log_eviction(id);
                buffers.evict(id);
            }
            tokio::select! {
                biased;
                () = self.evicted.cancelled() => return Err(OutOfMemory),
                () = self.granted.notified() => return Ok(()),
                () = tokio::time::sleep(ROOM_POLL_INTERVAL) => {}
            }
        }
    }

    /// Cancelled when the buffer has to give way.
    pub(crate) fn evicted(&self) -> CancellationToken {
        self.evicted.clone()
    }

    /// Runs `receive` until it ends, or until the buffer has to give way.
    ///
    /// # Errors
    /// [`OutOfMemory`] if the buffer has to give way.
    pub(crate) async fn guard<T>(
        &self,
        receive: impl Future<Output = T>,
    ) -> Result<T, OutOfMemory> {
        tokio::select! {
            biased;
            () = self.evicted.cancelled() => Err(OutOfMemory),
            received = receive => Ok(received),
        }
    }

    /// Gives memory back that is not needed any more.
    pub(crate) fn release(&self, bytes: usize) {
        self.buffers.budget.borrow_mut().release(self.id, bytes);
        self.buffers.grant();
    }

    /// Keeps the buffer from giving way: it was received completely and is in use.
    pub(crate) fn hold(&self) {
        self.buffers.budget.borrow_mut().hold(self.id);
    }

    fn record_received(&self) {
        let now = self.buffers.now();
        self.buffers
            .budget
            .borrow_mut()
            .record_received(now, self.id);
    }

    fn record_progress(&self) {
        let now = self.buffers.now();
        self.buffers
            .budget
            .borrow_mut()
            .record_progress(now, self.id);
    }

    fn log_eviction(&self, id: BufferId) {
        let budget = self.buffers.budget.borrow();
        let owner = budget.owner(id);
        log::warn!(
            kind = self.buffers.kind,
            group = owner.map(|owner| owner.group.as_str()),
            bytes = budget.bytes_of(id) as u64,
            used_bytes = budget.used_bytes() as u64,
            limit_bytes = budget.limit_bytes() as u64;
            "buffer_evicted"
        );
    }
}

/// Bytes that are received, in memory that is counted. It grows by segments, so that long answers are
/// not copied and short-lived ones leave no gaps of odd sizes.
pub(crate) struct ReceivedBytes {
    lease: BufferLease,
    /// Invariant: all but the last are full.
    segments: VecDeque<Vec<u8>>,
    length_bytes: usize,
    /// Bytes that are reserved and not in segments yet.
    reserved_bytes: usize,
}

impl ReceivedBytes {
    pub(crate) fn new(lease: BufferLease) -> Self {
        Self {
            lease,
            segments: VecDeque::new(),
            length_bytes: 0,
            reserved_bytes: 0,
        }
    }

    /// Reserves the memory for bytes whose length was stated, so that those that are begun can be received to
    /// their end.
    ///
    /// # Errors
    /// [`OutOfMemory`] if there is no room.
    pub(crate) async fn expect(&mut self, length_bytes: usize) -> Result<(), OutOfMemory> {
        self.lease.reserve(length_bytes).await?;
        self.reserved_bytes = length_bytes;
        Ok(())
    }

    pub(crate) fn len(&self) -> usize {
        self.length_bytes
    }

    /// Runs `receive` until it ends, or until the buffer has to give way.
    ///
    /// # Errors
    /// [`OutOfMemory`] if the buffer has to give way.
    pub(crate) async fn guard<T>(
        &self,
        receive: impl Future<Output = T>,
    ) -> Result<T, OutOfMemory> {
        self.lease.guard(receive).await
    }

    /// Adds bytes.
    ///
    /// # Errors
    /// [`OutOfMemory`] if the buffer has to give way.
    pub(crate) async fn push(&mut self, mut chunk: &[u8]) -> Result<(), OutOfMemory> {
        self.length_bytes += chunk.len();
        self.lease.record_received();
        loop {
            if let Some(last) = self.segments.back_mut() {
                let room_bytes = last.capacity() - last.len();
                let (fitting, rest) = chunk.split_at(chunk.len().min(room_bytes));
                last.extend_from_slice(fitting);
                chunk = rest;
            }
            if chunk.is_empty() {
                return Ok(());
            }
            let segment_bytes = if self.reserved_bytes > 0 {
                self.reserved_bytes.min(SEGMENT_BYTES)
            } else {
                let segment_bytes = self.length_bytes.clamp(MIN_SEGMENT_BYTES, SEGMENT_BYTES);
                self.lease.reserve(segment_bytes).await?;
                self.reserved_bytes = segment_bytes;
                segment_bytes
            };
            self.reserved_bytes -= segment_bytes;
            self.segments.push_back(Vec::with_capacity(segment_bytes));
        }
    }

    /// The bytes of a request in one piece, and the lease to be kept while they are in use.
    pub(crate) fn into_held(mut self) -> (Bytes, BufferLease) {
        self.lease.hold();
        if self.segments.len() < 2 {
            let whole = self.segments.pop_front().unwrap_or_default();
            return (whole.into(), self.lease);
        }
        let mut whole = Vec::with_capacity(self.length_bytes);
        for segment in self.segments {
            whole.extend_from_slice(&segment);
        }
        (whole.into(), self.lease)
    }

    /// The bytes of an answer, to be delivered.
    pub(crate) fn into_delivery(self) -> Delivery {
        let (buffers, id) = (Rc::clone(&self.lease.buffers), self.lease.id);
        self.lease.record_progress();
        let rest = Rc::new(RefCell::new(Some(Undelivered {
            current: Bytes::new(),
            current_bytes: 0,
            segments: self.segments,
            lease: self.lease,
        })));
        let for_eviction = Rc::downgrade(&rest);
        let give_up: Evict = Rc::new(move || {
            if let Some(rest) = for_eviction.upgrade() {
                drop(rest.take());
            }
        });
        buffers.set_eviction(id, give_up);
        Delivery {
            rest,
            length_bytes: self.length_bytes,
        }
    }
}

/// Bytes that the receiver has not taken yet, and their memory.
struct Undelivered {
    /// The rest of the segment that is being handed out, and the memory of the whole.
    current: Bytes,
    current_bytes: usize,
    segments: VecDeque<Vec<u8>>,
    lease: BufferLease,
}

/// A complete answer on its way to the caller. If memory is short and the caller doesn't read, the rest
/// is given up.
pub(crate) struct Delivery {
    /// `None` after the rest was given up.
    rest: Rc<RefCell<Option<Undelivered>>>,
    length_bytes: usize,
}

impl Delivery {
    /// Length of the whole answer, in bytes.
    pub(crate) fn len(&self) -> usize {
        self.length_bytes
    }

    /// The next bytes; `None` at the end.
    ///
    /// # Errors
    /// [`OutOfMemory`] if the rest was given up.
    pub(crate) fn next_part(&mut self) -> Option<Result<Bytes, OutOfMemory>> {
        let mut rest = self.rest.borrow_mut();
        let Some(undelivered) = rest.as_mut() else {
            return Some(Err(OutOfMemory));
        };
        undelivered.lease.record_progress();
        if undelivered.current.is_empty() {
            undelivered.lease.release(undelivered.current_bytes);
            undelivered.current_bytes = 0;
            let segment = undelivered.segments.pop_front()?;
            undelivered.current_bytes = segment.capacity();
            undelivered.current = segment.into();
        }
        let part_bytes = undelivered.current.len().min(PART_BYTES);
        Some(Ok(undelivered.current.split_to(part_bytes)))
    }
}

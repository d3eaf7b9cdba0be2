//! Bounds the memory in which requests or answers are buffered, for all of them together.
//!
//! Load pattern: faulty targets send bytes without end to many requests at once, or callers don't read
//! their answers. Each buffer is bounded, but their sum would exceed the memory of the VM, and all
//! requests would end with the process. When the budget is used up, the group that holds most gives
//! way, and the group that holds least is served first, so that the buffers of other services go on.
//! Buffers whose length was stated get all of it before they are filled, so that those that were begun
//! can be finished. A part of the budget is left to small buffers.

use std::time::Duration;

use compact_str::CompactString;

use crate::clock::Moment;

/// Time without progress after which a caller that doesn't read loses its answer if memory is short.
const STALL_TIME: Duration = Duration::from_secs(1);
/// Time without a byte after which a caller that sends a body gives way first.
const PAUSE_TIME: Duration = Duration::from_secs(1);
/// Time for a buffer whose length was stated to be filled, before it may give way.
const FILL_TIME: Duration = Duration::from_secs(2);
/// Size up to which a buffer may use the whole budget, in bytes.
const SMALL_BYTES: usize = 64 << 10;
/// Part of the budget that is left to small buffers.
const SMALL_PART: usize = 8;

/// Identifies a buffer at its budget.
pub type BufferId = u64;

value! {
    /// Whose buffer it is.
    #[derive(PartialOrd, Ord)]
    pub struct BufferOwner {
        /// The service whose answer, or the workspace whose request, is buffered.
        pub group: CompactString,
        /// Tells the members of a group apart: its targets.
        pub member: u64,
    }

    /// Whether it is known how long a buffer gets.
    #[derive(Copy)]
    pub enum Growth {
        /// Its length was stated, so that it ends.
        Stated,
        /// It may grow up to the limit of one buffer.
        Open,
    }

    /// Who sends what is buffered.
    #[derive(Copy)]
    enum Senders {
        /// Targets: those that send without end hold most. Who waits longest goes first among equals.
        Targets,
        /// Callers: those that stop keep their places. Who came last goes first among equals, as those that wait
        /// have used up more of their time.
        Callers,
    }

    /// State of a buffer.
    #[derive(Copy)]
    enum BufferState {
        /// Bytes are received since this time.
        Receiving(Moment),
        /// All bytes were received; the receiver took some at this time.
        Delivering(Moment),
        /// All bytes were received and are in use.
        Held,
        /// It gives way and is about to be closed.
        Evicted,
    }

    /// The memory of one request.
    struct Buffer {
        id: BufferId,
        owner: BufferOwner,
        growth: Growth,
        bytes: usize,
        /// Bytes that it waits for.
        awaited_bytes: usize,
        /// When bytes were last received, or waited for.
        received_at: Moment,
        state: BufferState,
    }

    /// Result of [`BufferBudget::reserve`].
    pub enum Reservation {
        /// The bytes are counted.
        Granted,
        /// Other buffers give way, or are delivered soon. The bytes are granted when they are closed.
        Wait {
            /// The buffers that were evicted for this one.
            evicted: Vec<BufferId>,
        },
        /// The buffer itself has to give way.
        Refused,
    }
}

/// Counts the bytes that are buffered.
#[derive(Debug, Clone)]
pub struct BufferBudget {
    limit_bytes: usize,
    senders: Senders,
    /// Invariant: the sum of all buffers; at most `limit_bytes`.
    used_bytes: usize,
    /// Invariant: the sum of the evicted buffers.
    evicted_bytes: usize,
    last_id: BufferId,
    /// Invariant: sorted by id.
    buffers: Vec<Buffer>,
}

impl BufferBudget {
    /// A budget of `limit_bytes` for all answers of targets together.
    #[must_use]
    pub fn new(limit_bytes: usize) -> Self {
        Self::of(Senders::Targets, limit_bytes)
    }

    /// A budget of `limit_bytes` for all bodies of callers together.
    #[must_use]
    pub fn of_callers(limit_bytes: usize) -> Self {
        Self::of(Senders::Callers, limit_bytes)
    }

    fn of(senders: Senders, limit_bytes: usize) -> Self {
        Self {
            limit_bytes,
            senders,
            used_bytes: 0,
            evicted_bytes: 0,
            last_id: 0,
            buffers: Vec::new(),
        }
    }

    /// Bytes of all buffers.
    #[must_use]
    pub fn used_bytes(&self) -> usize {
        self.used_bytes
    }

    /// Limit of all buffers together, in bytes.
    #[must_use]
    pub fn limit_bytes(&self) -> usize {
        self.limit_bytes
    }

    /// Adds an empty buffer.
    pub fn open(&mut self, now: Moment, owner: BufferOwner, growth: Growth) -> BufferId {
        self.last_id += 1;
        self.buffers.push(Buffer {
            id: self.last_id,
            owner,
            growth,
            bytes: 0,
            awaited_bytes: 0,
            received_at: now,
            state: BufferState::Receiving(now),
        });
        self.last_id
    }

    /// Counts `additional_bytes` more of a buffer, if there is room. Otherwise a buffer of the group that holds
    /// most gives way: one that may be without end first, the largest of the member that holds most.
    pub fn reserve(&mut self, now: Moment, id: BufferId, additional_bytes: usize) -> Reservation {
        let Some(position) = self.position(id) else {
            return Reservation::Refused;
        };
        let own_bytes = self.buffers[position].bytes + additional_bytes;
        let is_evicted = self.buffers[position].state == BufferState::Evicted;
        if is_evicted || own_bytes > self.limit_for(own_bytes) {
            return Reservation::Refused;
        }
        if additional_bytes == 0 {
            return Reservation::Granted;
        }
        self.buffers[position].awaited_bytes = additional_bytes;
        self.buffers[position].received_at = now;
        if self.next_waiting() == Some(position) && self.has_room(position) {
            self.grant_to(position);
            return Reservation::Granted;
        }
        let mut evicted = Vec::new();
        while self.used_bytes - self.evicted_bytes + additional_bytes > self.limit_for(own_bytes) {
            match self.victim(now) {
                Some(victim) if victim != position => {
                    self.buffers[victim].state = BufferState::Evicted;
                    self.buffers[victim].awaited_bytes = 0;
                    self.evicted_bytes += self.buffers[victim].bytes;
                    evicted.push(self.buffers[victim].id);
                }
                _ if self.evicted_bytes > 0 || self.will_free(position) => break,
                _ => {
                    self.buffers[position].awaited_bytes = 0;
                    return Reservation::Refused;
                }
            }
        }
        Reservation::Wait { evicted }
    }

    /// Records that a buffer received bytes.
    pub fn record_received(&mut self, now: Moment, id: BufferId) {
        if let Some(position) = self.position(id) {
            self.buffers[position].received_at = now;
        }
    }

    /// Grants the bytes that buffers wait for, those of the group that holds least first, as long as there
    /// is room. Returns the buffers that got theirs.
    #[must_use]
    pub fn grant(&mut self) -> Vec<BufferId> {
        let mut granted = Vec::new();
        while let Some(position) = self.next_waiting() {
            if !self.has_room(position) {
                break;
            }
            self.grant_to(position);
            granted.push(self.buffers[position].id);
        }
        granted
    }

    /// Gives back bytes of a buffer.
    pub fn release(&mut self, id: BufferId, bytes: usize) {
        if let Some(position) = self.position(id) {
            let released_bytes = bytes.min(self.buffers[position].bytes);
            self.buffers[position].bytes -= released_bytes;
            self.used_bytes -= released_bytes;
            if self.buffers[position].state == BufferState::Evicted {
                self.evicted_bytes -= released_bytes;
            }
        }
    }

    /// Records that all bytes of a buffer were received and are in use, so that it doesn't give way.
    pub fn hold(&mut self, id: BufferId) {
        if let Some(position) = self.position(id)
            && self.buffers[position].state != BufferState::Evicted
        {
            self.buffers[position].state = BufferState::Held;
        }
    }

    /// Whose buffer it is.
    #[must_use]
    pub fn owner(&self, id: BufferId) -> Option<&BufferOwner> {
        let position = self.position(id)?;
        Some(&self.buffers[position].owner)
    }

    /// Bytes of a buffer; zero if it is closed.
    #[must_use]
    pub fn bytes_of(&self, id: BufferId) -> usize {
        let position = self.position(id);
        position.map_or(0, |position| self.buffers[position].bytes)
    }

    /// Records that all bytes of a buffer were received, or that the receiver took some of them.
    pub fn record_progress(&mut self, now: Moment, id: BufferId) {
        if let Some(position) = self.position(id)
            && self.buffers[position].state != BufferState::Evicted
        {
            self.buffers[position].state = BufferState::Delivering(now);
        }
    }

    /// Removes a buffer whose memory was freed.
    pub fn close(&mut self, id: BufferId) {
        if let Some(position) = self.position(id) {
            let closed = self.buffers.remove(position);
            self.used_bytes -= closed.bytes;
            if closed.state == BufferState::Evicted {
                self.evicted_bytes -= closed.bytes;
            }
        }
    }

    fn position(&self, id: BufferId) -> Option<usize> {
        self.buffers
            .binary_search_by_key(&id, |buffer| buffer.id)
            .ok()
    }

    fn grant_to(&mut self, position: usize) {
        let buffer = &mut self.buffers[position];
        let granted_bytes = std::mem::take(&mut buffer.awaited_bytes);
        buffer.bytes += granted_bytes;
        self.used_bytes += granted_bytes;
    }

    /// Limit of all buffers together for one that has this size.
    fn limit_for(&self, bytes: usize) -> usize {
        if bytes <= SMALL_BYTES {
            self.limit_bytes
        } else {
            self.limit_bytes - self.limit_bytes / SMALL_PART
        }
    }

    /// Whether a buffer can get what it waits for.
    fn has_room(&self, position: usize) -> bool {
        let buffer = &self.buffers[position];
        let limit_bytes = self.limit_for(buffer.bytes + buffer.awaited_bytes);
        self.used_bytes + buffer.awaited_bytes <= limit_bytes
    }

    /// Position of the waiting buffer that is next: small ones go first, then those of the group that holds
    /// least, those that end, and those of the member that holds least.
    fn next_waiting(&self) -> Option<usize> {
        let is_waiting = |buffer: &&Buffer| buffer.awaited_bytes > 0;
        self.buffers.iter().find(is_waiting)?;
        let groups = sums(
            self.buffers
                .iter()
                .map(|buffer| (&buffer.owner.group, buffer.bytes)),
        );
        let members = sums(
            self.buffers
                .iter()
                .map(|buffer| (&buffer.owner, buffer.bytes)),
        );
        let rank = |buffer: &&Buffer| {
            let is_large = buffer.bytes + buffer.awaited_bytes > SMALL_BYTES;
            let may_be_endless = buffer.growth == Growth::Open;
            let group_bytes = sum_of(&groups, &&buffer.owner.group);
            let member_bytes = sum_of(&members, &&buffer.owner);
            let arrival = match self.senders {
                Senders::Targets => buffer.id,
                Senders::Callers => BufferId::MAX - buffer.id,
            };
            (
                is_large,
                group_bytes,
                may_be_endless,
                member_bytes,
                buffer.bytes,
                arrival,
            )
        };
        let next = self.buffers.iter().filter(is_waiting).min_by_key(rank)?;
        self.position(next.id)
    }

    /// Whether others than this buffer are delivered or filled soon.
    fn will_free(&self, position: usize) -> bool {
        let will_free = |buffer: &Buffer| match buffer.state {
            BufferState::Delivering(_) => true,
            BufferState::Receiving(_) => buffer.growth == Growth::Stated && buffer.bytes > 0,
            BufferState::Held | BufferState::Evicted => false,
        };
        let own = self.buffers[position].id;
        let mut others = self.buffers.iter().filter(|buffer| buffer.id != own);
        others.any(will_free)
    }

    /// Position of the buffer that gives way next.
    fn victim(&self, now: Moment) -> Option<usize> {
        if self.senders == Senders::Callers
            && let Some(paused) = self.longest_pause(now)
        {
            return Some(paused);
        }
        let may_give_way = |buffer: &&Buffer| match buffer.state {
            BufferState::Receiving(since) => {
                let is_late = now.saturating_sub(since) >= FILL_TIME;
                buffer.bytes > 0 && (buffer.growth == Growth::Open || is_late)
            }
            BufferState::Delivering(since) => now.saturating_sub(since) >= STALL_TIME,
            BufferState::Held | BufferState::Evicted => false,
        };
        let candidates = || self.buffers.iter().filter(may_give_way);
        let groups = sums(candidates().map(|buffer| (&buffer.owner.group, buffer.bytes)));
        let (group, _) = groups.into_iter().max_by_key(|(_, bytes)| *bytes)?;
        let in_group = || candidates().filter(|buffer| buffer.owner.group == *group);
        let is_any_open = in_group().any(|buffer| buffer.growth == Growth::Open);
        let members =
            || in_group().filter(move |buffer| !is_any_open || buffer.growth == Growth::Open);
        let by_member = sums(members().map(|buffer| (buffer.owner.member, buffer.bytes)));
        let (member, _) = by_member.into_iter().max_by_key(|(_, bytes)| *bytes)?;
        let own = members().filter(|buffer| buffer.owner.member == member);
        let largest = own.max_by_key(|buffer| buffer.bytes)?;
        self.position(largest.id)
    }
}

impl BufferBudget {
    /// Position of the buffer whose caller has not sent for the longest time, if that is long.
    fn longest_pause(&self, now: Moment) -> Option<usize> {
        let has_paused = |buffer: &&Buffer| {
            matches!(buffer.state, BufferState::Receiving(_))
                && buffer.bytes > 0
                && buffer.awaited_bytes == 0
                && now.saturating_sub(buffer.received_at) >= PAUSE_TIME
        };
        let paused = self.buffers.iter().filter(has_paused);
        let longest = paused.min_by_key(|buffer| buffer.received_at)?;
        self.position(longest.id)
    }
}

/// The sum of a key; zero if there is none.
fn sum_of<K: PartialEq>(sums: &[(K, usize)], key: &K) -> usize {
    let found = sums.iter().find(|(known, _)| known == key);
    found.map_or(0, |(_, bytes)| *bytes)
}

/// The sums of bytes by key.
fn sums<K: PartialEq>(parts: impl Iterator<Item = (K, usize)>) -> Vec<(K, usize)> {
    let mut sums: Vec<(K, usize)> = Vec::new();
    for (key, bytes) in parts {
        match sums.iter_mut().find(|(known, _)| *known == key) {
            Some((_, sum)) => *sum += bytes,
            None => sums.push((key, bytes)),
        }
    }
    sums
}

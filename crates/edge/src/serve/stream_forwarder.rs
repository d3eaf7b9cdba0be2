//! Forwards the events of a stream. When the stream of a target is cut off, resumes it at another
//! target after the last event that the caller received, if the route allows that.

use std::time::Duration;

use bytes::Bytes;
use futures::Stream;
use lapismoor_core::Moment;
use lapismoor_core::admission::Growth;
use lapismoor_core::retry::{MAX_SOUND_SILENCE, NextStep};
use lapismoor_core::routing::Choice;
use lapismoor_core::stream::EventSplitter;

use super::attempt::{Answer, FailedAttempt};
use super::job::{Job, TIME_UP};
use super::report;
use super::run::{CRASHES_TARGETS, EVACUATED, VERSION_GONE};
use super::takeover::{self, CHECK_INTERVAL, Offer, Overdue};
use crate::buffers::{BufferLease, OutOfMemory};
use crate::store::share_now;

/// Time after the deadline in which events that are ready are still forwarded. A target stops its work
/// at the deadline; one that goes on is cut off.
const LATE_DELIVERY: Duration = Duration::from_secs(1);

/// Failure cause of a stream whose incomplete event had to give way to other answers.
const MEMORY_EXHAUSTED: &str = "memory_exhausted";

/// Forwards a stream from a target to a caller.
pub(crate) struct StreamForwarder {
    job: Job,
    choice: Choice,
    answer: Answer,
    splitter: EventSplitter,
    /// Memory of the event that is not complete yet.
    memory: StreamMemory,
    /// When the last event was forwarded; `None` before the first.
    forwarded_at: Option<Moment>,
    /// Whether the current target has sent events.
    has_events: bool,
    wait: EventWait,
}

/// The wait for the next event of the current target. Bytes of an event that is not complete don't end it.
struct EventWait {
    /// When the last event, or the answer, arrived.
    since: Moment,
    /// When it is checked whether another target can go on with the stream.
    check_at: Moment,
    /// Whether that was checked before.
    is_checked: bool,
}

impl EventWait {
    fn begin(job: &Job) -> Self {
        let now = job.edge.now();
        Self {
            since: now,
            check_at: now + job.edge.settings.tuning.event_silence_timeout,
            is_checked: false,
        }
    }
}

/// Memory of the incomplete event of a stream.
struct StreamMemory {
    lease: BufferLease,
    counted_bytes: usize,
}

impl StreamMemory {
    /// Counts the buffered bytes anew.
    async fn resize(&mut self, bytes: usize) -> Result<(), OutOfMemory> {
        if bytes > self.counted_bytes {
            self.lease.reserve(bytes - self.counted_bytes).await?;
        } else if bytes < self.counted_bytes {
            self.lease.release(self.counted_bytes - bytes);
        }
        self.counted_bytes = bytes;
        Ok(())
    }
}

enum Step {
    Events(Bytes),
    End,
}

impl StreamForwarder {
    pub(crate) fn new(mut job: Job, choice: Choice, answer: Answer) -> Self {
        job.is_streaming = true;
        let splitter = EventSplitter::resumed_after(job.request.envelope.last_event);
        let memory = StreamMemory {
            lease: job.open_answer_buffer(answer.target, Growth::Open),
            counted_bytes: 0,
        };
        Self {
            wait: EventWait::begin(&job),
            memory,
            job,
            choice,
            answer,
            splitter,
            forwarded_at: None,
            has_events: false,
        }
    }

    /// The events. An error ends the stream and names why it was cut off.
    pub(crate) fn into_stream(self) -> impl Stream<Item = Result<Bytes, &'static str>> {
        futures::stream::unfold(Some(self), |forwarder| async {
            let mut forwarder = forwarder?;
            match forwarder.next().await {
                Ok(Step::Events(bytes)) => Some((Ok(bytes), Some(forwarder))),
                Ok(Step::End) => {
                    let target_id = forwarder.answer.target_id.clone();
                    forwarder.answer.release_connection(&forwarder.job);
                    forwarder.job.finish_stream();
                    report::served(&forwarder.job, &target_id, 200);
                    None
                }
                Err(cause) => {
                    share_now(&forwarder.job.edge, forwarder.job.fingerprint).await;
                    report::stream_cut_off(&forwarder.job, cause, forwarder.splitter.last_id());
                    Some((Err(cause), None))
                }
            }
        })
    }

    async fn next(&mut self) -> Result<Step, &'static str> {
        loop {
            match self.read().await {
                Ok(step) => return Ok(step),
                Err(failed) => self.resume(failed).await?,
            }
        }
    }

    async fn read(&mut self) -> Result<Step, FailedAttempt> {
        loop {
            if self.job.edge.now() >= self.job.deadline + LATE_DELIVERY {
                return Err(FailedAttempt::not_awaited(TIME_UP));
            }
            let Some(bytes) = self.read_bytes().await? else {
                if !self.has_events && !self.answer.body.is_delimited() {
                    return Err(FailedAttempt::connection_lost("no_event"));
                }
                return Ok(Step::End);
            };
            self.job.edge.target_heard(self.answer.target);
            let events = self.splitter.push(&bytes);
            let events = events.map_err(|error| FailedAttempt::not_awaited(error.name()))?;
            let resized = self.memory.resize(self.splitter.pending_bytes()).await;
            resized.map_err(|OutOfMemory| FailedAttempt::not_awaited(MEMORY_EXHAUSTED))?;
            if !events.is_empty() {
                self.job.begin_delivery(self.answer.target);
                self.has_events = true;
                self.wait = EventWait::begin(&self.job);
                self.record_latency();
                return Ok(Step::Events(events));
            }
        }
    }

    /// The next bytes of the answer. While no event arrives, other targets are offered the stream.
    async fn read_bytes(&mut self) -> Result<Option<Bytes>, FailedAttempt> {
        loop {
            let time_left = self.job.time_left();
            let until_check = self.wait.check_at.saturating_sub(self.job.edge.now());
            let timeout = if self.job.allows_replacement() {
                time_left.min(until_check)
            } else {
                time_left
            };
            let reading = read_body(&mut self.answer, &self.splitter);
            let reading = self.memory.lease.guard(reading);
            let reading = self.job.in_time(reading);
            if let Ok(Some(result)) = tokio::time::timeout(timeout, reading).await {
                let read =
                    result.map_err(|OutOfMemory| FailedAttempt::not_awaited(MEMORY_EXHAUSTED));
                return read?;
            }
            if self.job.time_left().is_zero() {
                return Err(FailedAttempt::not_awaited(self.job.cause_of_timeout()));
            }
            self.wait.check_at = self.job.edge.now() + CHECK_INTERVAL;
            let is_first = !std::mem::replace(&mut self.wait.is_checked, true);
            let overdue = if self.splitter.has_partial_event() {
                Overdue::Slow
            } else {
                Overdue::Silent
            };
            let found = takeover::find_replacement(
                &self.job,
                &self.choice,
                overdue,
                self.wait.since,
                is_first,
            );
            let Some(choice) = found else {
                continue;
            };
            let last_event = self.splitter.last_id();
            let reading = read_body(&mut self.answer, &self.splitter);
            match takeover::offer(&self.job, choice, last_event, overdue, reading).await {
                Offer::Ended(result) => return result,
                Offer::Declined => {}
                Offer::Taken(sent, mut failed) => {
                    self.answer.close();
                    failed.had_answer = self.has_events;
                    takeover::end_replaced_attempt(&self.job, &self.choice, &failed);
                    self.splitter.discard_partial_event();
                    self.has_events = false;
                    let waiting = takeover::wait_for_answer(&self.job, sent, last_event);
                    let (choice, result) = waiting.await;
                    self.choice = choice;
                    self.answer = result?;
                    self.wait = EventWait::begin(&self.job);
                }
            }
        }
    }

    /// Records the time to the first event, or the pause before a later one.
    fn record_latency(&mut self) {
        let edge = &self.job.edge;
        let now = edge.now();
        match self.forwarded_at {
            None => edge
                .metrics
                .record_first_event(now.saturating_sub(self.job.request.received)),
            Some(before) => edge.metrics.record_event_gap(now.saturating_sub(before)),
        }
        self.forwarded_at = Some(now);
    }

    /// Resumes the stream at another target, or returns the cause of its end.
    async fn resume(&mut self, mut failed: FailedAttempt) -> Result<(), &'static str> {
        self.answer.close();
        self.splitter.discard_partial_event();
        failed.had_answer = self.has_events;
        loop {
            let step = self.job.next_step(self.choice.target, &failed);
            report::attempt_failed(&self.job, &self.choice, &failed, &step);
            if step != NextStep::Retry {
                return Err(self.cause_of_end(&failed));
            }
            if !self.job.wait_for_target().await {
                return Err(self.cause_of_end(&failed));
            }
            let clear = self.job.clear_to_send().await;
            clear.map_err(|_| CRASHES_TARGETS)?;
            let give_up_at = self.job.edge.now() + MAX_SOUND_SILENCE.min(self.job.time_left());
            let chosen = self.job.choose_target(give_up_at).await;
            let choice = chosen.map_err(|_| self.cause_of_end(&failed))?;
            let last_event = self.splitter.last_id();
            let (choice, result) = takeover::run_attempt(&self.job, choice, last_event).await;
            self.choice = choice;
            self.has_events = false;
            match result {
                Ok(answer) => {
                    self.answer = answer;
                    self.wait = EventWait::begin(&self.job);
                    return Ok(());
                }
                Err(error) => failed = error,
            }
        }
    }

    /// Why a stream that no target can resume ends.
    fn cause_of_end(&self, failed: &FailedAttempt) -> &'static str {
        if !self.job.serves_version() {
            VERSION_GONE
        } else if self.job.is_evacuated() {
            EVACUATED
        } else {
            failed.cause
        }
    }
}

/// Reads the next bytes. An answer that ends in the middle of an event was cut off.
async fn read_body(
    answer: &mut Answer,
    splitter: &EventSplitter,
) -> Result<Option<Bytes>, FailedAttempt> {
    let read = answer.body.next().await;
    let bytes = read.map_err(|error| FailedAttempt::cut_off(&error))?;
    if bytes.is_none() && splitter.has_partial_event() {
        return Err(FailedAttempt::connection_lost("event_cut_off"));
    }
    Ok(bytes)
}

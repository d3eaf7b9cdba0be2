//! Requests with a ticket or an idempotency key that this daemon incarnation owns, from the issue
//! of the id to the kept answer.
//!
//! Only the owner dispatches a request, and only after [`Ledger::claim`] returned
//! [`ClaimResult::Run`]. The state is held in memory only, so the right to dispatch ends with the
//! incarnation.

use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;

use crate::clock::Moment;
use crate::failure::{Failure, FailureKind, NotRunProof, Outcome};
use crate::ids::{Fingerprint, Incarnation, RequestId, WorkspaceId};
use crate::once::OnceSettings;
use crate::store::RecordKey;

/// Delay before a retry while too many tickets are unused. Some are used or expire within it.
const TICKETS_RETRY_AFTER: Duration = Duration::from_secs(1);

value! {
    /// A complete answer that is kept for retries of the request.
    pub struct KeptAnswer {
        /// HTTP status code.
        pub status: u16,
        /// Media type of the body.
        pub content_type: CompactString,
        /// Complete body.
        pub body: Bytes,
    }

    /// Result of [`Ledger::claim`].
    pub enum ClaimResult {
        /// The request may be dispatched now. Its end must be passed to [`Ledger::record_end`].
        Run,
        /// The request is running. The caller waits for [`Ledger::outcome`].
        Wait,
        /// The request has finished with this answer.
        Answer(KeptAnswer),
        /// The caller gets this failure, and nothing is dispatched.
        Fail(Failure),
    }

    enum Phase {
        /// No request was claimed under the id.
        Unused,
        /// A target may be running the request.
        Running,
        /// The request has ended.
        Ended(Result<KeptAnswer, Failure>),
    }

    struct Entry {
        sequence: u64,
        workspace: WorkspaceId,
        key: Option<RecordKey>,
        /// Hash of the request; zero before the first claim.
        fingerprint: Fingerprint,
        phase: Phase,
        /// When the entry expires, unless the request is running.
        expires_at: Moment,
    }
}

/// Requests with a ticket or an idempotency key that this daemon incarnation owns.
#[derive(Debug, Clone)]
pub struct Ledger {
    incarnation: Incarnation,
    settings: OnceSettings,
    /// Invariant: sorted by sequence.
    entries: Vec<Entry>,
    last_sequence: u64,
}

impl Ledger {
    /// Creates an empty ledger for an incarnation of the daemon.
    #[must_use]
    pub fn new(incarnation: Incarnation, settings: OnceSettings) -> Self {
        Self {
            incarnation,
            settings,
            entries: Vec::new(),
            last_sequence: 0,
        }
    }

    /// Incarnation that owns the requests.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Issues an id before the request is sent.
    ///
    /// # Errors
    /// [`Failure`] if `max_tickets` ids are unused.
    pub fn issue(&mut self, now: Moment, workspace: &WorkspaceId) -> Result<RequestId, Failure> {
        let unused = self
            .entries
            .iter()
            .filter(|entry| entry.phase == Phase::Unused);
        if unused.count() >= self.settings.max_tickets {
            return Err(Failure::not_run(
                NotRunProof::NeverAccepted,
                FailureKind::WorkspaceLimit,
                Some(TICKETS_RETRY_AFTER),
            ));
        }
        self.last_sequence += 1;
        self.entries.push(Entry {
            sequence: self.last_sequence,
            workspace: workspace.clone(),
            key: None,
            fingerprint: 0,
            phase: Phase::Unused,
            expires_at: now + Duration::from_millis(self.settings.ticket_ttl_ms),
        });
        Ok(RequestId {
            incarnation: self.incarnation,
            sequence: self.last_sequence,
        })
    }

    /// Binds a caller's idempotency key to an id of this ledger.
    pub fn bind_key(&mut self, id: RequestId, key: RecordKey) {
        if let Some(entry) = self.get_mut(id) {
            entry.key = Some(key);
        }
    }

    /// The idempotency keys that are bound to ids of this ledger.
    #[must_use]
    pub fn bound_keys(&self) -> Vec<(RecordKey, RequestId)> {
        let bound = self.entries.iter().filter_map(|entry| {
            let id = RequestId {
                incarnation: self.incarnation,
                sequence: entry.sequence,
            };
            Some((entry.key.clone()?, id))
        });
        bound.collect()
    }

    /// Id that an idempotency key is bound to, if its entry has not expired.
    #[must_use]
    pub fn bound_id(&self, key: &str) -> Option<RequestId> {
        let is_bound = |entry: &&Entry| entry.key.as_deref() == Some(key);
        let entry = self.entries.iter().find(is_bound)?;
        Some(RequestId {
            incarnation: self.incarnation,
            sequence: entry.sequence,
        })
    }

    /// Claims the right to dispatch the request of an id. It is given once, and again only after an
    /// end that proves that the request did not run.
    pub fn claim(
        &mut self,
        id: RequestId,
        workspace: &WorkspaceId,
        fingerprint: Fingerprint,
    ) -> ClaimResult {
        let is_issued = id.incarnation == self.incarnation && id.sequence <= self.last_sequence;
        let Some(entry) = self.get_mut(id) else {
            return ClaimResult::Fail(unknown_ticket(is_issued));
        };
        if entry.workspace != *workspace {
            return ClaimResult::Fail(unknown_ticket(true));
        }
        let is_other_request = entry.phase != Phase::Unused && entry.fingerprint != fingerprint;
        if is_other_request {
            return ClaimResult::Fail(Failure::unknown(FailureKind::Invalid, None));
        }
        entry.fingerprint = fingerprint;
        match &entry.phase {
            Phase::Running => return ClaimResult::Wait,
            Phase::Ended(Ok(answer)) => return ClaimResult::Answer(answer.clone()),
            Phase::Ended(Err(failure)) if failure.outcome == Outcome::Unknown => {
                return ClaimResult::Fail(failure.clone());
            }
            // No request was dispatched under the id, or the last one is known not to have run.
            Phase::Unused | Phase::Ended(Err(_)) => {}
        }
        entry.phase = Phase::Running;
        ClaimResult::Run
    }

    /// Records the end of a request for which [`Ledger::claim`] returned [`ClaimResult::Run`].
    ///
    /// # Panics
    /// If the request was not running, as it then ran without a claim.
    pub fn record_end(&mut self, now: Moment, id: RequestId, end: Result<KeptAnswer, Failure>) {
        let limit = self.settings.kept_answer_bytes;
        let expires_at = now + Duration::from_millis(self.settings.retention_ms);
        let Some(entry) = self.get_mut(id) else {
            return;
        };
        assert!(
            entry.phase == Phase::Running,
            "a request ended that was not claimed"
        );
        entry.expires_at = expires_at;
        entry.phase = Phase::Ended(match end {
            Ok(answer) if answer.body.len() > limit => Err(not_kept()),
            end => end,
        });
        self.enforce_kept_limit();
    }

    /// Result for callers that wait for a request; none while it runs.
    #[must_use]
    pub fn outcome(&self, id: RequestId) -> Option<Result<KeptAnswer, Failure>> {
        let Ok(position) = self.position(id) else {
            return Some(Err(unknown_ticket(true)));
        };
        match &self.entries[position].phase {
            Phase::Ended(end) => Some(end.clone()),
            Phase::Unused | Phase::Running => None,
        }
    }

    /// Removes expired entries of requests that are not running.
    pub fn sweep(&mut self, now: Moment) {
        self.entries
            .retain(|entry| entry.phase == Phase::Running || entry.expires_at > now);
    }

    /// Number of entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no entries.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Drops the oldest kept answers above the memory limit.
    fn enforce_kept_limit(&mut self) {
        let kept = |entry: &Entry| match &entry.phase {
            Phase::Ended(Ok(answer)) => answer.body.len(),
            _ => 0,
        };
        let mut total: usize = self.entries.iter().map(kept).sum();
        for entry in &mut self.entries {
            if total <= self.settings.kept_total_bytes {
                return;
            }
            total -= kept(entry);
            if matches!(entry.phase, Phase::Ended(Ok(_))) {
                entry.phase = Phase::Ended(Err(not_kept()));
            }
        }
    }

    fn get_mut(&mut self, id: RequestId) -> Option<&mut Entry> {
        let position = self.position(id).ok()?;
        Some(&mut self.entries[position])
    }

    fn position(&self, id: RequestId) -> Result<usize, usize> {
        if id.incarnation != self.incarnation {
            return Err(0);
        }
        self.entries
            .binary_search_by_key(&id.sequence, |entry| entry.sequence)
    }
}

/// Nothing ran under a ticket that was never issued. The outcome of an expired one is unknown.
fn unknown_ticket(is_issued: bool) -> Failure {
    if is_issued {
        return Failure::unknown(FailureKind::UnknownTicket, None);
    }
    Failure::not_run(NotRunProof::NeverAccepted, FailureKind::UnknownTicket, None)
}

fn not_kept() -> Failure {
    Failure::unknown(FailureKind::AnswerCut, None)
}

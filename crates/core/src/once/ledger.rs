//! The requests under tickets and keys that this run of the daemon owns, from ticket to kept answer.
//!
//! Only the owner dispatches a request, and only after [`Ledger::claim`] said so. Its memory is the
//! whole truth: with the run of the daemon the right to dispatch ends as well.

use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;

use crate::clock::Moment;
use crate::failure::{Failure, FailureKind, NotRunProof, Outcome};
use crate::ids::{Fingerprint, Incarnation, RequestId, WorkspaceId};
use crate::once::OnceSettings;
use crate::store::RecordKey;

/// When to come back while too many tickets are unused; some end within it.
const CROWDED_RETRY_AFTER: Duration = Duration::from_secs(1);

value! {
    /// A whole answer, kept for a repeated request.
    pub struct KeptAnswer {
        /// HTTP status.
        pub status: u16,
        /// Media type of the body.
        pub content_type: CompactString,
        /// The body.
        pub body: Bytes,
    }

    /// What a caller that names a request gets.
    pub enum Claim {
        /// The request may be dispatched now; its end must be told to [`Ledger::end`].
        Run,
        /// It is running; the caller waits for its end.
        Wait,
        /// It is over, with this answer.
        Answer(KeptAnswer),
        /// The final answer.
        Fail(Failure),
    }

    enum Phase {
        /// Nothing ran under it.
        Unused,
        /// A target may be running it.
        Running,
        /// It is over.
        Over(Result<KeptAnswer, Failure>),
    }

    struct Entry {
        sequence: u64,
        workspace: WorkspaceId,
        key: Option<RecordKey>,
        /// Hash of the request; zero before there is one.
        fingerprint: Fingerprint,
        phase: Phase,
        /// When it is forgotten, unless it runs.
        ends_at: Moment,
    }
}

/// The requests under tickets and keys that this run of the daemon owns.
#[derive(Debug, Clone)]
pub struct Ledger {
    incarnation: Incarnation,
    settings: OnceSettings,
    /// Invariant: sorted by sequence.
    entries: Vec<Entry>,
    last_sequence: u64,
}

impl Ledger {
    /// Nothing is owned yet.
    #[must_use]
    pub fn new(incarnation: Incarnation, settings: OnceSettings) -> Self {
        Self {
            incarnation,
            settings,
            entries: Vec::new(),
            last_sequence: 0,
        }
    }

    /// This run of the daemon.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Gives an id out, ahead of the request.
    ///
    /// # Errors
    /// [`Failure`] when too many are unused.
    pub fn issue(&mut self, now: Moment, workspace: &WorkspaceId) -> Result<RequestId, Failure> {
        let unused = self
            .entries
            .iter()
            .filter(|entry| entry.phase == Phase::Unused);
        if unused.count() >= self.settings.max_tickets {
            return Err(Failure::not_run(
                NotRunProof::NeverAccepted,
                FailureKind::WorkspaceLimit,
                Some(CROWDED_RETRY_AFTER),
            ));
        }
        self.last_sequence += 1;
        self.entries.push(Entry {
            sequence: self.last_sequence,
            workspace: workspace.clone(),
            key: None,
            fingerprint: 0,
            phase: Phase::Unused,
            ends_at: now + Duration::from_millis(self.settings.ticket_ttl_ms),
        });
        Ok(RequestId {
            incarnation: self.incarnation,
            sequence: self.last_sequence,
        })
    }

    /// Binds a caller's key to an id of this ledger.
    pub fn bind(&mut self, id: RequestId, key: RecordKey) {
        if let Some(entry) = self.get_mut(id) {
            entry.key = Some(key);
        }
    }

    /// The id that a caller's key is bound to, if it is still known here.
    #[must_use]
    pub fn bound(&self, key: &str) -> Option<RequestId> {
        let is_bound = |entry: &&Entry| entry.key.as_deref() == Some(key);
        let entry = self.entries.iter().find(is_bound)?;
        Some(RequestId {
            incarnation: self.incarnation,
            sequence: entry.sequence,
        })
    }

    /// Takes a request under an id of this ledger.
    pub fn claim(
        &mut self,
        id: RequestId,
        workspace: &WorkspaceId,
        fingerprint: Fingerprint,
    ) -> Claim {
        let is_issued = id.incarnation == self.incarnation && id.sequence <= self.last_sequence;
        let Some(entry) = self.get_mut(id) else {
            return Claim::Fail(unknown_ticket(is_issued));
        };
        if entry.workspace != *workspace {
            return Claim::Fail(unknown_ticket(true));
        }
        let is_other = entry.phase != Phase::Unused && entry.fingerprint != fingerprint;
        if is_other {
            return Claim::Fail(Failure::unknown(FailureKind::Invalid, None));
        }
        entry.fingerprint = fingerprint;
        match &entry.phase {
            Phase::Running => return Claim::Wait,
            Phase::Over(Ok(answer)) => return Claim::Answer(answer.clone()),
            Phase::Over(Err(failure)) if failure.outcome == Outcome::Unknown => {
                return Claim::Fail(failure.clone());
            }
            // Nothing ran under it yet, or what came of it was not run.
            Phase::Unused | Phase::Over(Err(_)) => {}
        }
        entry.phase = Phase::Running;
        Claim::Run
    }

    /// Takes the end of a request that was claimed to run.
    ///
    /// # Panics
    /// If the request was not running: it would have run without a claim.
    pub fn end(&mut self, now: Moment, id: RequestId, end: Result<KeptAnswer, Failure>) {
        let limit = self.settings.kept_answer_bytes;
        let ends_at = now + Duration::from_millis(self.settings.retention_ms);
        let Some(entry) = self.get_mut(id) else {
            return;
        };
        assert!(
            entry.phase == Phase::Running,
            "a request ran without a claim"
        );
        entry.ends_at = ends_at;
        entry.phase = Phase::Over(match end {
            Ok(answer) if answer.body.len() > limit => Err(not_kept()),
            end => end,
        });
        self.keep_within_limit();
    }

    /// What waiters of a request get now; none while it runs.
    #[must_use]
    pub fn outcome(&self, id: RequestId) -> Option<Result<KeptAnswer, Failure>> {
        let Ok(position) = self.position(id) else {
            return Some(Err(unknown_ticket(true)));
        };
        match &self.entries[position].phase {
            Phase::Over(end) => Some(end.clone()),
            Phase::Unused | Phase::Running => None,
        }
    }

    /// Forgets what is old.
    pub fn sweep(&mut self, now: Moment) {
        self.entries
            .retain(|entry| entry.phase == Phase::Running || entry.ends_at > now);
    }

    /// Requests that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Drops the oldest answers beyond the memory for them.
    fn keep_within_limit(&mut self) {
        let kept = |entry: &Entry| match &entry.phase {
            Phase::Over(Ok(answer)) => answer.body.len(),
            _ => 0,
        };
        let mut total: usize = self.entries.iter().map(kept).sum();
        for entry in &mut self.entries {
            if total <= self.settings.kept_total_bytes {
                return;
            }
            total -= kept(entry);
            if matches!(entry.phase, Phase::Over(Ok(_))) {
                entry.phase = Phase::Over(Err(not_kept()));
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

/// A ticket that was never issued ran nothing; of one that is forgotten nobody knows.
fn unknown_ticket(is_issued: bool) -> Failure {
    if is_issued {
        return Failure::unknown(FailureKind::UnknownTicket, None);
    }
    Failure::not_run(NotRunProof::NeverAccepted, FailureKind::UnknownTicket, None)
}

fn not_kept() -> Failure {
    Failure::unknown(FailureKind::AnswerCut, None)
}

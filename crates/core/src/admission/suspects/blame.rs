//! Decides which request content or prompt part crashed targets, where several were present.
//!
//! Load pattern: a target that crashes cuts off dozens of requests. Those that are sent on, and those with
//! the same parts, are at the next target that crashes as well, so that their evidence looks like that against the
//! cause. The cause is at all crashes, the others at some of them.
//!
//! Blamed are first the parts on which no target has ever answered, then those that explain most crashes, then
//! contents in the same order. What has its crashes explained by others may run. A content that was never
//! answered is not excused by others: it may be a second cause.

use std::cmp::Reverse;

use super::prompt_parts::{crashes_by_target, following_crashes};
use super::{CRASHES_ALLOWED, Record, SuspectKind, Suspects};
use crate::ids::Fingerprint;
use crate::membership::TargetIncarnation;

/// Crashes that nothing else explains, from which on a suspect is blamed. Evidence against something else
/// may be under way.
const MIN_UNEXPLAINED_CRASHES: usize = 2;
/// Maximum number of parts that explain crashes together without being suspected themselves. Each
/// session has a part of its own.
const MAX_EXPLAINING_PARTS: usize = 2;

/// A content or part that may explain several crashes.
struct Candidate<'a> {
    fingerprint: Fingerprint,
    /// Whether a target has answered it before.
    is_answered: bool,
    is_suspected: bool,
    /// Targets that crashed, each with the number of its crashes. Invariant: sorted, one for each.
    crashes: Vec<(&'a TargetIncarnation, usize)>,
}

impl Candidate<'_> {
    fn crash_count(&self) -> usize {
        self.crashes.iter().map(|(_, count)| count).sum()
    }
}

/// Targets whose crashes are explained. Invariant: sorted, one for each.
#[derive(Default)]
struct Explained<'a>(Vec<&'a TargetIncarnation>);

impl<'a> Explained<'a> {
    /// Number of the candidate's crashes that are not explained.
    fn missing(&self, candidate: &Candidate<'_>) -> usize {
        let crashes = candidate.crashes.iter();
        let missing = crashes.filter(|(target, _)| self.0.binary_search(target).is_err());
        missing.map(|(_, count)| count).sum()
    }

    fn add(&mut self, candidate: &Candidate<'a>) {
        for (target, _) in &candidate.crashes {
            if let Err(position) = self.0.binary_search(target) {
                self.0.insert(position, target);
            }
        }
    }
}

impl Suspects {
    /// Whether the crashes under a suspected content or part are not explained by others.
    pub(super) fn is_blamed(&self, suspect: Fingerprint) -> bool {
        let parts = self.part_candidates();
        let is_part = parts.iter().any(|part| part.fingerprint == suspect);
        let mut explained = Explained::default();
        let mut explaining = 0;
        for part in parts {
            let is_blamed =
                part.is_suspected && explained.missing(&part) >= MIN_UNEXPLAINED_CRASHES;
            if part.fingerprint == suspect {
                return is_blamed;
            }
            // A part of the request itself explains its content only if the part is blamed.
            let may_explain = is_part && !part.is_answered && explaining < MAX_EXPLAINING_PARTS;
            if is_blamed || may_explain {
                explaining += 1;
                explained.add(&part);
            }
        }
        if !is_part && !self.answer_history.contains(suspect) {
            return true;
        }
        for content in self.content_candidates() {
            let is_blamed = explained.missing(&content) >= MIN_UNEXPLAINED_CRASHES;
            if content.fingerprint == suspect {
                return is_blamed;
            }
            if is_blamed {
                explained.add(&content);
            }
        }
        false
    }

    /// Parts at several crashes: those that were never answered first, then those with most crashes.
    fn part_candidates(&self) -> Vec<Candidate<'_>> {
        let mut parts: Vec<Candidate<'_>> = self
            .candidates(SuspectKind::PromptPart)
            .filter(|part| part.crash_count() > 1)
            .collect();
        parts.sort_by_key(|part| {
            let crashes = Reverse(part.crash_count());
            (part.is_answered, crashes, part.fingerprint)
        });
        parts
    }

    /// Suspected contents, those with most crashes first.
    fn content_candidates(&self) -> Vec<Candidate<'_>> {
        let mut contents: Vec<Candidate<'_>> = self
            .candidates(SuspectKind::Content)
            .filter(|content| content.is_suspected)
            .collect();
        contents.sort_by_key(|content| (Reverse(content.crash_count()), content.fingerprint));
        contents
    }

    fn candidates(&self, kind: SuspectKind) -> impl Iterator<Item = Candidate<'_>> {
        let by_fingerprint = self
            .records
            .chunk_by(|left, right| left.fingerprint == right.fingerprint);
        let of_kind = by_fingerprint.filter(move |records| records[0].kind == kind);
        of_kind.map(|records| self.candidate(records))
    }

    fn candidate<'a>(&self, records: &'a [Record]) -> Candidate<'a> {
        let Record {
            kind, fingerprint, ..
        } = records[0];
        let crashes = match kind {
            SuspectKind::Content => count_occurrences(records),
            SuspectKind::PromptPart => following_crashes(records),
        };
        Candidate {
            fingerprint,
            is_answered: self.answer_history.contains(fingerprint),
            is_suspected: crashes >= CRASHES_ALLOWED,
            crashes: crashes_by_target(records),
        }
    }
}

/// Number of interruptions of a content that count.
pub(super) fn count_occurrences(records: &[Record]) -> usize {
    let counted = records.iter().filter(|record| record.counts());
    counted.map(|record| record.occurrences as usize).sum()
}

//! Classification of answers, and the next step after a failed attempt.

use lapismoor_core::retry::{
    AnswerKind, AttemptCounts, AttemptEnd, NextStep, RetryPolicy, classify_answer,
};
use test_case::test_case;

#[test_case(200, true, false, &AnswerKind::Success; "signed success")]
#[test_case(200, false, false, &AnswerKind::Untrusted; "success without signature")]
#[test_case(500, true, false, &AnswerKind::Failure; "signed failure")]
#[test_case(500, false, false, &AnswerKind::Untrusted; "failure without signature")]
#[test_case(404, true, false, &AnswerKind::Final; "permanent refusal")]
#[test_case(503, false, true, &AnswerKind::Rejected; "target states not run")]
#[test_case(503, true, false, &AnswerKind::Untrusted; "503 without a not-run statement")]
#[test_case(429, true, false, &AnswerKind::Untrusted; "429 without a not-run statement")]
#[test_case(421, false, false, &AnswerKind::Rejected; "misdirected to another target")]
fn answer_is_classified(status: u16, is_signed: bool, is_not_run: bool, expected: &AnswerKind) {
    let actual = classify_answer(status, is_signed, is_not_run);
    assert_eq!(&actual, expected);
}

fn policy(is_repeatable: bool) -> RetryPolicy {
    RetryPolicy {
        is_repeatable,
        max_attempts: 2,
        max_sends: 4,
    }
}

fn final_step(is_repeatable: bool, ends: &[AttemptEnd], has_budget: bool) -> NextStep {
    let mut counts = AttemptCounts::default();
    let mut final_step = NextStep::Retry;
    for end in ends {
        counts.count_attempt(end);
        final_step = policy(is_repeatable).next(end, counts, true, || has_budget);
    }
    final_step
}

use AttemptEnd::{Failed, NotSent, Rejected, Unknown};

#[test_case(false, &[NotSent], &NextStep::Retry; "nothing was sent")]
#[test_case(false, &[Rejected, Rejected], &NextStep::Retry; "two targets rejected it")]
#[test_case(false, &[Unknown], &NextStep::FailUnknown; "not repeatable and may have run")]
#[test_case(false, &[Failed], &NextStep::PassOn; "not repeatable and failed")]
#[test_case(true, &[Unknown], &NextStep::Retry; "repeatable and may have run")]
#[test_case(true, &[Unknown, Unknown], &NextStep::FailUnknown; "attempts used up")]
#[test_case(true, &[Unknown, Rejected], &NextStep::Retry; "a rejection does not count as a run")]
#[test_case(
    true, &[Rejected, Rejected, Rejected, Rejected], &NextStep::RefuseNotRun; "sends used up by rejections"
)]
fn next_step_follows_from_the_attempts(
    is_repeatable: bool,
    ends: &[AttemptEnd],
    expected: &NextStep,
) {
    let actual = final_step(is_repeatable, ends, true);
    assert_eq!(&actual, expected);
}

#[test]
fn request_that_may_have_run_is_never_reported_as_not_run() {
    let ends = [NotSent, Rejected, Failed, Unknown];
    for first in &ends {
        for second in &ends {
            for is_repeatable in [false, true] {
                let actual = final_step(is_repeatable, &[first.clone(), second.clone()], false);
                let ran = [first, second]
                    .iter()
                    .any(|end| matches!(end, Failed | Unknown));
                assert!(
                    !ran || actual != NextStep::RefuseNotRun,
                    "{first:?} {second:?}"
                );
            }
        }
    }
}

/// Guards against a refusal after an attempt that may have run, however many follow it, with time and budget
/// left or not.
#[test]
fn refusal_follows_only_attempts_that_did_not_run() {
    let ends = [NotSent, Rejected, Failed, Unknown];
    for number in 0..4_usize.pow(4) {
        let drawn = [number % 4, number / 4 % 4, number / 16 % 4, number / 64];
        for (is_repeatable, has_time, has_budget) in
            (0..8).map(|bits| (bits & 1 > 0, bits & 2 > 0, bits & 4 > 0))
        {
            let mut counts = AttemptCounts::default();
            let mut may_have_run = false;
            for end in drawn.map(|one| &ends[one]) {
                counts.count_attempt(end);
                may_have_run |= matches!(end, Failed | Unknown);
                let actual = policy(is_repeatable).next(end, counts, has_time, || has_budget);
                assert!(
                    !may_have_run || actual != NextStep::RefuseNotRun,
                    "{drawn:?}"
                );
                assert!(
                    !may_have_run || is_repeatable || actual != NextStep::Retry,
                    "{drawn:?}"
                );
            }
        }
    }
}

#[test]
fn exhausted_budget_prevents_retries() {
    assert_eq!(final_step(true, &[Unknown], false), NextStep::FailUnknown);
    assert_eq!(final_step(true, &[Rejected], false), NextStep::RefuseNotRun);
}

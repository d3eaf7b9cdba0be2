//! What follows the end of an attempt, and what an answer means.

use lapismoor_core::retry::{
    AnswerKind, AttemptCounts, AttemptEnd, NextStep, RetryPolicy, classify_answer,
};
use test_case::test_case;

#[test_case(200, true, false, &AnswerKind::Success; "served")]
#[test_case(200, false, false, &AnswerKind::Untrusted; "success without signature")]
#[test_case(500, true, false, &AnswerKind::Failure; "failure of the target")]
#[test_case(500, false, false, &AnswerKind::Untrusted; "failure without signature")]
#[test_case(404, true, false, &AnswerKind::Final; "refused for good")]
#[test_case(503, false, true, &AnswerKind::Rejected; "full")]
#[test_case(503, true, false, &AnswerKind::Untrusted; "a promise that the target did not give")]
#[test_case(429, true, false, &AnswerKind::Untrusted; "another such promise")]
#[test_case(421, false, false, &AnswerKind::Rejected; "another target has the address")]
fn answers(status: u16, is_signed: bool, is_not_run: bool, expected: &AnswerKind) {
    let actual = classify_answer(status, is_signed, is_not_run);
    assert_eq!(&actual, expected);
}

fn rule(is_repeatable: bool) -> RetryPolicy {
    RetryPolicy {
        is_repeatable,
        max_attempts: 2,
        max_sends: 4,
    }
}

fn step(is_repeatable: bool, ends: &[AttemptEnd], has_budget: bool) -> NextStep {
    let mut progress = AttemptCounts::default();
    let mut step = NextStep::Retry;
    for end in ends {
        progress.note(end);
        step = rule(is_repeatable).next(end, progress, true, || has_budget);
    }
    step
}

use AttemptEnd::{Failed, NotSent, Rejected, Unknown};

#[test_case(false, &[NotSent], &NextStep::Retry; "nothing left the daemon")]
#[test_case(false, &[Rejected, Rejected], &NextStep::Retry; "two targets were full")]
#[test_case(false, &[Unknown], &NextStep::FailUnknown; "may have run and must not run twice")]
#[test_case(false, &[Failed], &NextStep::PassOn; "ran and failed")]
#[test_case(true, &[Unknown], &NextStep::Retry; "may run twice")]
#[test_case(true, &[Unknown, Unknown], &NextStep::FailUnknown; "as many attempts as allowed")]
#[test_case(true, &[Unknown, Rejected], &NextStep::Retry; "a rejection is no run")]
#[test_case(
    true, &[Rejected, Rejected, Rejected, Rejected], &NextStep::RefuseNotRun; "all were full"
)]
fn next_steps(is_repeatable: bool, ends: &[AttemptEnd], expected: &NextStep) {
    let actual = step(is_repeatable, ends, true);
    assert_eq!(&actual, expected);
}

#[test]
fn not_run_is_never_said_of_what_may_have_run() {
    let ends = [NotSent, Rejected, Failed, Unknown];
    for first in &ends {
        for second in &ends {
            for is_repeatable in [false, true] {
                let actual = step(is_repeatable, &[first.clone(), second.clone()], false);
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

#[test]
fn without_budget_there_is_no_retry() {
    assert_eq!(step(true, &[Unknown], false), NextStep::FailUnknown);
    assert_eq!(step(true, &[Rejected], false), NextStep::RefuseNotRun);
}

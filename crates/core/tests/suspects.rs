//! Detection of requests that crash targets, among other requests in flight at the same targets.

use std::time::Duration;

use lapismoor_core::Moment;
use lapismoor_core::admission::suspects::{
    CONFIRMATION_WINDOW, CRASHES_ALLOWED, Judgement, LISTING_TIME, MAX_BAN, MAX_TRIALS,
    SURVIVAL_TIME, TRIAL_SURVIVAL_TIME, TrialClaim, TrialClaimStep,
};
use lapismoor_core::admission::{
    AnsweredAttempt, Belief, Evidence, InterruptedAttempt, SuspectKind, Suspects, TrialRecord,
    Verdict,
};
use lapismoor_core::ids::Fingerprint;
use lapismoor_core::membership::TargetIncarnation;
use lapismoor_core::store::{Record, StoreAnswer, StoreFailure, StoreRequest};
use test_case::test_case;

const CRASHING: Fingerprint = 666;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn target(number: u64) -> TargetIncarnation {
    TargetIncarnation {
        id: format!("engine-{number}").into(),
        started_unix_ms: 1,
    }
}

fn attempt(fingerprint: Fingerprint, number: u64, sent_ms: u64) -> InterruptedAttempt {
    InterruptedAttempt {
        kind: SuspectKind::Content,
        fingerprint,
        target: target(number),
        sent_at: ms(sent_ms),
        had_answer: false,
        belief: Belief::Presumed,
    }
}

/// Records an attempt that was interrupted by the crash of its target.
fn crash(
    suspects: &mut Suspects,
    at_ms: u64,
    fingerprint: Fingerprint,
    number: u64,
) -> Vec<Fingerprint> {
    suspects.record_interrupted_attempt(ms(at_ms + 10), attempt(fingerprint, number, at_ms));
    suspects.record_crash(ms(at_ms + 20), &target(number))
}

/// Records that an attempt was answered to its end.
fn answer(
    suspects: &mut Suspects,
    at_ms: u64,
    fingerprint: Fingerprint,
    number: u64,
) -> Option<usize> {
    let answered = AnsweredAttempt {
        kind: SuspectKind::Content,
        fingerprint,
        target: target(number),
        sent_at: ms(at_ms - 10),
    };
    suspects.record_answered_attempt(ms(at_ms), answered)
}

/// Judges the interruptions as a daemon does whose copy of the store is up to date.
fn settle(suspects: &mut Suspects, now: Moment, is_listed: bool) {
    suspects.settle(now, Some(now), Moment::ZERO, |_| is_listed);
}

/// Tells `to` all that `from` has to share.
fn share(from: &mut Suspects, to: &mut Suspects, now: Moment) {
    if let Some((evidence, _)) = from.take_unshared(now) {
        let received = Evidence::parse(&evidence.to_json()).expect("valid evidence");
        assert_eq!(received, evidence);
        to.merge(now, &received);
    }
}

/// The caller retries the request as soon as it has failed.
#[test]
fn request_is_banned_after_the_third_crash() {
    let mut suspects = Suspects::default();
    let mut crashes = 0;
    for target in 1..20 {
        let now = 1_000 * target;
        if suspects.ban(ms(now), CRASHING).is_some() {
            continue;
        }
        crashes += 1;
        crash(&mut suspects, now, CRASHING, target);
    }
    // The ban after the third crash ends after 10 s, which allows one more crash.
    assert_eq!(crashes, CRASHES_ALLOWED + 1);
    assert!(suspects.ban(ms(20_000) + MAX_BAN, CRASHING).is_none());
}

/// Trials end: an unlimited number would allow a crash after each ban.
#[test]
fn request_is_refused_after_its_trials_until_the_evidence_expires() {
    let mut suspects = Suspects::default();
    for target in 1..=3 {
        crash(&mut suspects, 1_000 * target, CRASHING, target);
    }
    let mut crashes = 0;
    for second in 4..500 {
        if let Verdict::Trial { number } = suspects.verdict(ms(1_000 * second), CRASHING) {
            let trial = TrialRecord {
                fingerprint: CRASHING,
                number,
            };
            suspects.record_trial(ms(1_000 * second), trial);
            crashes += 1;
            crash(&mut suspects, 1_000 * second, CRASHING, second);
        }
    }
    assert_eq!(crashes, MAX_TRIALS);
    let expired_at = ms(500_000) + MAX_BAN;
    settle(&mut suspects, expired_at, false);
    assert_eq!(suspects.verdict(expired_at, CRASHING), Verdict::Run);
}

/// Ten other requests are in flight at each target that crashes. They are answered by other targets
/// and must not be banned.
#[test]
fn other_requests_at_crashed_targets_are_not_banned() {
    let mut suspects = Suspects::default();
    for target in 1..=3 {
        let now = 1_000 * target;
        for other in 0..10 {
            let interrupted = attempt(other, target, now - 500);
            suspects.record_interrupted_attempt(ms(now + 5), interrupted);
        }
        crash(&mut suspects, now, CRASHING, target);
        for other in 0..10 {
            assert_eq!(suspects.ban(ms(now + 30), other), None);
            suspects.clear(ms(now + 30), other);
        }
    }
    assert!(suspects.ban(ms(4_000), CRASHING).is_some());
}

/// A request is retried at further targets before the crash of the first one is detected. Each
/// crash must count, in whatever order an update of the store reports them.
#[test_case([1, 2, 3])]
#[test_case([3, 2, 1])]
#[test_case([2, 3, 1])]
fn consecutive_attempts_count_before_the_crashes_are_detected(reported: [u64; 3]) {
    let mut suspects = Suspects::default();
    suspects.record_interrupted_attempt(ms(1_010), attempt(CRASHING, 1, 1_000));
    suspects.record_interrupted_attempt(ms(1_030), attempt(CRASHING, 2, 1_011));
    suspects.record_interrupted_attempt(ms(1_050), attempt(CRASHING, 3, 1_031));
    // The store reports the crashes more than three seconds later, too late to wait for them.
    assert!(suspects.ban(ms(1_100), CRASHING).is_some());
    for target_number in reported {
        suspects.record_crash(ms(3_000 + target_number), &target(target_number));
    }
    assert!(suspects.ban(ms(3_100), CRASHING).is_some());
}

/// All targets of a service crash one after the other for another reason, each during an attempt of
/// the same call. Its ban must be short.
#[test]
fn first_ban_is_short_and_an_answer_clears_the_request() {
    let mut suspects = Suspects::default();
    for target in 1..=3 {
        crash(&mut suspects, 1_000 * target, 7, target);
    }
    assert!(suspects.ban(ms(4_000), 7).is_some());
    assert_eq!(suspects.ban(ms(14_000), 7), None);
    suspects.clear(ms(14_000), 7);
    crash(&mut suspects, 15_000, 7, 1);
    assert_eq!(suspects.ban(ms(15_100), 7), None);
}

/// Two targets crash, and the third sends the rest of the answer and ends a moment later. The answer
/// must not clear the request: the three count, at all daemons.
#[test]
fn answer_whose_target_ends_a_moment_later_does_not_clear_the_request() {
    let (mut suspects, mut other) = (Suspects::new(1), Suspects::new(2));
    crash(&mut suspects, 1_000, CRASHING, 1);
    crash(&mut suspects, 1_500, CRASHING, 2);
    share(&mut suspects, &mut other, ms(1_600));
    assert_eq!(answer(&mut suspects, 2_000, CRASHING, 3), Some(2));
    assert_eq!(suspects.standing(ms(2_000), CRASHING).crashes, 0);
    suspects.clear_answered(ms(2_030), Some(ms(2_030)), Moment::ZERO, |_| true);
    let interrupted = suspects.record_crash(ms(2_500), &target(3));
    assert_eq!(interrupted, [CRASHING]);
    share(&mut suspects, &mut other, ms(2_600));
    for daemon in [&suspects, &other] {
        assert_eq!(daemon.standing(ms(2_700), CRASHING).crashes, 3);
        assert_ne!(daemon.verdict(ms(2_700), CRASHING), Verdict::Run);
    }
}

/// A request that merely was at crashed targets is answered in a trial. It must not be refused for
/// longer than it takes to see that its target survived it.
#[test_case(Some(1_000), 2_000, true, None; "target runs and is listed")]
#[test_case(Some(1_000), 1_900, true, Some(ms(1_000)); "a successor may not be listed yet")]
#[test_case(Some(900), 6_900, true, Some(ms(1_000)); "sign of life too early")]
#[test_case(None, 7_000, true, None; "no sign of life, listed for long")]
#[test_case(Some(1_000), 2_000, false, Some(ms(1_000)); "a successor answered")]
fn answer_clears_the_request_once_its_target_survived(
    alive_after_ms: Option<u64>,
    copy_confirmed_after_ms: u64,
    is_listed: bool,
    expected: Option<Duration>,
) {
    let mut suspects = Suspects::new(1);
    for number in 1..=3 {
        crash(&mut suspects, 1_000 * number, 7, number);
    }
    let trial = TrialRecord {
        fingerprint: 7,
        number: 1,
    };
    suspects.record_trial(ms(14_000), trial);
    assert_eq!(answer(&mut suspects, 14_100, 7, 4), Some(0));
    if let Some(alive_after_ms) = alive_after_ms {
        suspects.record_presence(&target(4), ms(14_100 + alive_after_ms), None);
    }
    let now = ms(14_100 + copy_confirmed_after_ms);
    let cleared = suspects.clear_answered(now, Some(now), Moment::ZERO, |_| is_listed);
    let actual = suspects.ban(now, 7);
    assert_eq!(actual, expected);
    let expected_cleared = if expected.is_none() {
        vec![(7, 3)]
    } else {
        Vec::new()
    };
    assert_eq!(cleared, expected_cleared);
}

/// A connection from before the answer that stays open shows that its target runs on. A request that is
/// refused need not wait for the store then; one from after the answer may lead to a successor.
#[test_case(ms(14_100), TRIAL_SURVIVAL_TIME, None; "open since the answer")]
#[test_case(ms(14_101), TRIAL_SURVIVAL_TIME, Some(ms(1_000)); "opened after it")]
#[test_case(ms(14_100), TRIAL_SURVIVAL_TIME.saturating_sub(ms(1)), Some(ms(1_000)); "too early")]
fn connection_that_stays_open_clears_the_request(
    connected_since: Moment,
    checked_after: Duration,
    expected: Option<Duration>,
) {
    let mut suspects = Suspects::new(1);
    for number in 1..=3 {
        crash(&mut suspects, 1_000 * number, 7, number);
    }
    let trial = TrialRecord {
        fingerprint: 7,
        number: 1,
    };
    suspects.record_trial(ms(14_000), trial);
    answer(&mut suspects, 14_100, 7, 4);
    let now = ms(14_100) + checked_after;
    suspects.record_presence(&target(4), now, Some(connected_since));
    suspects.clear_answered(now, None, Moment::ZERO, |_| true);
    let actual = suspects.ban(now, 7);
    assert_eq!(actual, expected);
}

/// Guards against a request that is sent on without a trace of what its daemon knew: each interruption is
/// named with its witness and whether it counts.
#[test]
fn observations_name_what_counts_and_by_whose_sight() {
    let (mut suspects, mut other) = (Suspects::new(1), Suspects::new(2));
    crash(&mut suspects, 1_000, 7, 1);
    suspects.record_interrupted_attempt(ms(1_500), attempt(7, 2, 1_400));
    suspects.record_answer(&target(2), ms(1_600));
    let mut silent = attempt(7, 3, 1_700);
    silent.belief = Belief::Unknown;
    suspects.record_interrupted_attempt(ms(1_800), silent);
    crash(&mut other, 1_000, 7, 4);
    share(&mut other, &mut suspects, ms(2_000));
    let actual = suspects.observations(7);
    let actual: Vec<(&str, u64, Judgement)> = actual
        .iter()
        .map(|seen| (seen.target.as_str(), seen.witness, seen.judgement))
        .collect();
    let expected = [
        ("engine-1", 1, Judgement::Counted),
        ("engine-2", 1, Judgement::Refuted),
        ("engine-3", 1, Judgement::Unconfirmed),
        ("engine-4", 2, Judgement::Counted),
    ];
    assert_eq!(actual, expected);

    answer(&mut suspects, 3_000, 7, 5);
    let suspended = suspects.observations(7);
    assert_eq!(suspended[0].judgement, Judgement::Suspended);
    other.clear(ms(3_000), 7);
    let (evidence, _) = other.take_unshared(ms(60_000)).expect("a withdrawal");
    let refuted = suspects.refuted_by(&evidence);
    assert!(refuted.is_empty(), "did not count any more: {refuted:?}");
    suspects.record_crash(ms(3_100), &target(5));
    assert_eq!(suspects.refuted_by(&evidence), evidence.withdrawn);
}

/// The store is away for long, so that answers clear for good only later. A target that ends after the last
/// of them is noticed all the same.
#[test]
fn target_that_ends_after_a_later_answer_is_noticed() {
    let mut suspects = Suspects::new(1);
    crash(&mut suspects, 1_000, 7, 1);
    for at_ms in (2_000..30_000).step_by(1_000) {
        answer(&mut suspects, at_ms, 7, 3);
        suspects.clear_answered(ms(at_ms), Some(ms(900)), Moment::ZERO, |_| true);
    }
    suspects.record_crash(ms(29_500), &target(3));
    assert_eq!(suspects.standing(ms(29_500), 7).crashes, 2);
}

/// While the store is away, a successor under the same id is not listed. The copy proves nothing.
#[test]
fn answer_does_not_clear_by_an_outdated_copy() {
    let mut suspects = Suspects::new(1);
    for number in 1..=3 {
        crash(&mut suspects, 1_000 * number, 7, number);
    }
    answer(&mut suspects, 14_100, 7, 4);
    suspects.record_presence(&target(4), ms(15_500), None);
    let later = ms(30_000);
    suspects.clear_answered(later, Some(ms(14_000)), Moment::ZERO, |_| true);
    assert_eq!(suspects.standing(later, 7).crashes, 3);
    // The store is back, and has not had the time to list a successor.
    suspects.clear_answered(later, Some(later), later, |_| true);
    assert_eq!(suspects.standing(later, 7).crashes, 3);
    let listed_at = later + LISTING_TIME;
    suspects.clear_answered(listed_at, Some(listed_at), later, |_| true);
    assert_eq!(suspects.standing(listed_at, 7).crashes, 0);
}

/// A request is answered again and again, and interrupted in between. Each answer clears what came before
/// it for good once its target has survived, also if answers follow in a row.
#[test]
fn answer_clears_what_came_before_it() {
    let mut suspects = Suspects::new(1);
    crash(&mut suspects, 1_000, 7, 1);
    crash(&mut suspects, 1_500, 7, 2);
    for at_ms in (2_000..2_500).step_by(100) {
        answer(&mut suspects, at_ms, 7, 3);
        answer(&mut suspects, at_ms, 7, 5);
    }
    crash(&mut suspects, 2_500, 7, 4);
    assert_eq!(suspects.standing(ms(2_600), 7).crashes, 1);
    let alive_at = ms(2_000) + SURVIVAL_TIME;
    suspects.record_presence(&target(3), alive_at, None);
    let now = alive_at + LISTING_TIME;
    suspects.clear_answered(now, Some(now), Moment::ZERO, |_| true);
    suspects.record_crash(now, &target(5));
    let actual = suspects.standing(now, 7).crashes;
    assert_eq!(actual, 2, "targets 4 and 5; the answer of 3 stands");
    assert_eq!(answer(&mut suspects, 4_000, 8, 3), None);
}

/// A stream is present at three targets that crash for another reason while they answer it. It must
/// be served by the next one, and not wait for the end of a ban.
#[test]
fn request_that_was_being_answered_is_tried_again_at_once() {
    let mut suspects = Suspects::default();
    for number in 1..=3 {
        let mut interrupted = attempt(7, number, 1_000 * number);
        interrupted.had_answer = true;
        suspects.record_interrupted_attempt(ms(1_000 * number + 500), interrupted);
        suspects.record_crash(ms(1_000 * number + 600), &target(number));
    }
    assert_eq!(suspects.ban(ms(3_700), 7), None);
    assert_eq!(suspects.verdict(ms(3_700), 7), Verdict::Trial { number: 1 });
    suspects.clear(ms(3_800), 7);
    assert_eq!(suspects.verdict(ms(3_800), 7), Verdict::Run);
}

/// All targets of a service crash at the same time while the same call is in flight at each. The
/// crashes must count as one.
#[test]
fn simultaneous_crashes_count_once() {
    let mut suspects = Suspects::default();
    for target in 1..=4 {
        suspects.record_interrupted_attempt(ms(1_000 + target), attempt(7, target, 900));
    }
    for number in 1..=4 {
        suspects.record_crash(ms(1_100 + number), &target(number));
    }
    assert_eq!(suspects.ban(ms(1_200), 7), None);
}

/// Guards against interruptions that stop to count unseen: each sign of life names the requests that it
/// concerns, once.
#[test]
fn refuted_interruptions_are_named_once() {
    let mut suspects = Suspects::default();
    suspects.record_interrupted_attempt(ms(1_010), attempt(7, 1, 1_000));
    let mut silent = attempt(8, 1, 1_000);
    silent.belief = Belief::Unknown;
    suspects.record_interrupted_attempt(ms(1_010), silent);
    assert_eq!(suspects.record_answer(&target(1), ms(1_020)), [7]);
    let again = suspects.record_answer(&target(1), ms(1_030));
    assert_eq!(again, Vec::<Fingerprint>::new());

    suspects.record_interrupted_attempt(ms(2_010), attempt(7, 2, 2_000));
    let now = ms(2_010) + CONFIRMATION_WINDOW;
    let refuted = suspects.settle(now, Some(now), Moment::ZERO, |_| true);
    let refuted: Vec<Fingerprint> = refuted.iter().map(|refuted| refuted.fingerprint).collect();
    assert_eq!(refuted, [7], "the one at target 1 stopped to count before");
}

#[test]
fn interrupted_attempt_without_a_crash_does_not_count() {
    let mut suspects = Suspects::default();
    for number in 1..10 {
        suspects.record_interrupted_attempt(
            ms(1_000 * number),
            attempt(CRASHING, number, 1_000 * number - 10),
        );
        assert_eq!(
            suspects.record_crash(ms(1_000 * number + 10), &target(99)),
            Vec::<Fingerprint>::new()
        );
        let later = ms(1_000 * number + 8_000);
        settle(&mut suspects, later, true);
        let late = suspects.record_crash(later, &target(number));
        assert_eq!(
            late,
            Vec::<Fingerprint>::new(),
            "the target kept running after the attempt"
        );
    }
    assert_eq!(suspects.ban(ms(20_000), CRASHING), None);
}

/// Connections are reset while the targets keep running. A target that answers a later request did
/// not crash, and the request must not be refused for as long as that is unconfirmed.
#[test]
fn target_that_answers_later_did_not_crash() {
    let mut suspects = Suspects::default();
    for number in 1..=5 {
        suspects.record_interrupted_attempt(ms(100 * number), attempt(7, number, 100 * number - 9));
        assert_eq!(suspects.verdict(ms(100 * number), 7), Verdict::Run);
        suspects.record_answer(&target(number), ms(100 * number + 1));
    }
    // Unless it turns out that another incarnation answered.
    suspects.record_crash(ms(1_000), &target(1));
    assert_eq!(suspects.standing(ms(1_000), 7).crashes, 1);
}

/// While the store is unavailable, the entry of a crashed target stays listed. It proves nothing.
#[test]
fn target_listed_in_an_outdated_copy_may_have_crashed() {
    let mut suspects = Suspects::default();
    for number in 1..=3 {
        suspects.record_interrupted_attempt(ms(100 * number), attempt(7, number, 100 * number - 9));
    }
    let later = ms(300) + CONFIRMATION_WINDOW;
    suspects.settle(later, Some(ms(200)), Moment::ZERO, |_| true);
    assert_eq!(suspects.standing(later, 7).crashes, 3);
    // The store is back, and has not had the time to drop the entry.
    suspects.settle(later + ms(100), Some(later), later, |_| true);
    assert_eq!(suspects.standing(later, 7).crashes, 3);
    let settled_at = later + CONFIRMATION_WINDOW;
    suspects.settle(settled_at, Some(settled_at), later, |_| true);
    assert_eq!(suspects.standing(settled_at, 7).crashes, 0);
}

/// A target that falls silent may only be slow; it counts once its crash is confirmed.
#[test]
fn silent_target_counts_only_when_it_crashed() {
    let mut suspects = Suspects::default();
    for number in 1..=3 {
        let mut interrupted = attempt(7, number, 1_000 * number);
        interrupted.belief = Belief::Unknown;
        suspects.record_interrupted_attempt(ms(1_000 * number + 900), interrupted);
    }
    assert_eq!(suspects.verdict(ms(4_000), 7), Verdict::Run);
    for number in 1..=3 {
        suspects.record_crash(ms(5_000), &target(number));
    }
    assert_eq!(suspects.standing(ms(5_000), 7).crashes, 3);
}

/// The caller retries at another daemon each time, so that each daemon sees one crash only.
#[test]
fn crashes_are_counted_across_daemons() {
    let mut daemons = [1, 2, 3].map(Suspects::new);
    for number in 1..=3_u64 {
        let now = 1_000 * number;
        let [first, second, third] = &mut daemons;
        let (own, others) = match number {
            1 => (first, [second, third]),
            2 => (second, [first, third]),
            _ => (third, [first, second]),
        };
        assert_eq!(own.ban(ms(now), CRASHING), None);
        crash(own, now, CRASHING, number);
        let (evidence, _) = own
            .take_unshared(ms(now + 600))
            .expect("something to share");
        for other in others {
            other.merge(ms(now + 650), &evidence);
        }
    }
    for suspects in &daemons {
        assert!(suspects.ban(ms(3_700), CRASHING).is_some());
        assert_eq!(suspects.standing(ms(3_700), CRASHING).crashes, 3);
    }
}

/// Two crashes at one daemon are shared, and the third at another one bans the request there.
#[test]
fn crash_after_two_at_another_daemon_bans_the_request() {
    let [mut first, mut second] = [1, 2].map(Suspects::new);
    crash(&mut first, 1_000, CRASHING, 1);
    assert_eq!(first.take_unshared(ms(1_100)), None);
    crash(&mut first, 2_000, CRASHING, 2);
    let (shared, is_urgent) = first.take_unshared(ms(2_100)).expect("evidence");
    assert!(is_urgent);
    let received = Evidence::parse(&shared.to_json()).expect("valid evidence");
    assert_eq!(received, shared);
    second.merge(ms(2_500), &received);
    crash(&mut second, 3_000, CRASHING, 3);
    assert!(second.ban(ms(3_100), CRASHING).is_some());
}

/// Two daemons see two crashes each at the same time. Four targets crashed, not two.
#[test]
fn crashes_at_two_daemons_add_up() {
    let mut daemons = [1, 2].map(Suspects::new);
    for (daemon, first_target) in [(0, 1), (1, 3)] {
        crash(&mut daemons[daemon], 1_000, CRASHING, first_target);
        crash(&mut daemons[daemon], 1_050, CRASHING, first_target + 1);
    }
    let [first, second] = &mut daemons;
    share(first, second, ms(1_100));
    share(second, first, ms(1_100));
    for suspects in &daemons {
        assert_eq!(suspects.standing(ms(1_200), CRASHING).crashes, 4);
        assert!(suspects.ban(ms(1_200), CRASHING).is_some());
    }
}

/// Evidence of a request that was interrupted once waits, as most are answered by the next target;
/// a second interruption is shared at once.
#[test]
fn repeated_interruptions_are_shared_at_once() {
    let mut suspects = Suspects::default();
    crash(&mut suspects, 1_000, CRASHING, 1);
    crash(&mut suspects, 1_000, 7, 1);
    assert_eq!(suspects.take_unshared(ms(1_100)), None);
    suspects.clear(ms(1_150), 7);
    crash(&mut suspects, 1_200, CRASHING, 2);
    let (evidence, is_urgent) = suspects.take_unshared(ms(1_230)).expect("evidence");
    let shared: Vec<Fingerprint> = evidence
        .interrupted
        .iter()
        .map(|shared| shared.fingerprint)
        .collect();
    assert_eq!((shared, is_urgent), (vec![CRASHING, CRASHING], true));
    assert_eq!(suspects.take_unshared(ms(9_000)), None);
}

/// A request that other daemons refuse is answered in a trial. They must learn of it at once.
#[test]
fn answer_of_a_refused_request_is_shared_at_once() {
    let (mut author, mut reader) = (Suspects::new(1), Suspects::new(2));
    for number in 1..=3 {
        crash(&mut author, 1_000 * number, 7, number);
    }
    share(&mut author, &mut reader, ms(4_000));
    assert!(reader.ban(ms(4_000), 7).is_some());
    author.clear(ms(14_000), 7);
    let (evidence, is_urgent) = author.take_unshared(ms(14_001)).expect("withdrawals");
    assert!(is_urgent);
    reader.merge(ms(14_010), &evidence);
    assert_eq!(reader.verdict(ms(14_010), 7), Verdict::Run);
}

/// The withdrawal of an interruption may arrive before the interruption, for example when a daemon
/// that starts reads all records in the order of their keys.
#[test]
fn withdrawal_that_arrives_first_holds() {
    let (mut author, mut reader) = (Suspects::new(1), Suspects::new(2));
    for number in 1..=3 {
        crash(&mut author, 1_000 * number, 7, number);
    }
    let (interrupted, _) = author.take_unshared(ms(4_000)).expect("evidence");
    author.clear(ms(4_100), 7);
    let (withdrawn, _) = author.take_unshared(ms(4_200)).expect("a withdrawal");
    reader.merge(ms(5_000), &withdrawn);
    reader.merge(ms(5_000), &interrupted);
    assert_eq!(reader.verdict(ms(5_000), 7), Verdict::Run);
}

/// A target restarts so quickly that its new entry has not arrived when the request crashes it again.
/// Two crashes under one name count as two, also if different daemons see them.
#[test]
fn crashes_before_the_new_entry_arrives_count_each() {
    let mut daemons = [1, 2].map(Suspects::new);
    for suspects in &mut daemons {
        for at in [1_000, 1_200] {
            suspects.record_interrupted_attempt(ms(at + 10), attempt(CRASHING, 1, at));
        }
    }
    let [first, second] = &mut daemons;
    assert_eq!(first.standing(ms(1_300), CRASHING).crashes, 2);
    share(first, second, ms(1_300));
    share(second, first, ms(1_300));
    for suspects in &daemons {
        assert_eq!(suspects.standing(ms(1_400), CRASHING).crashes, 4);
    }
}

/// A trial that another daemon runs must not be run here as well, and the caller is told to return
/// soon.
#[test]
fn claimed_trial_is_not_run_again() {
    let mut suspects = Suspects::default();
    for number in 1..=3 {
        crash(&mut suspects, 1_000 * number, CRASHING, number);
    }
    let due = ms(14_000);
    assert_eq!(
        suspects.verdict(due, CRASHING),
        Verdict::Trial { number: 1 }
    );
    let trial = TrialRecord {
        fingerprint: CRASHING,
        number: 1,
    };
    suspects.record_trial(due, trial);
    let retry_after = suspects.ban(due + ms(1), CRASHING).expect("refused");
    assert!(retry_after <= ms(1_000), "{retry_after:?}");
}

/// An answer to the claim is lost. The daemon recognizes its own record, and no other daemon takes
/// it for its own.
#[test]
fn trial_is_claimed_once_despite_lost_answers() {
    let trial = TrialRecord {
        fingerprint: CRASHING,
        number: 2,
    };
    let mut claim = TrialClaim::new(trial, 77, 1);
    let lost = Err(StoreFailure {
        reason: "no answer".into(),
    });
    let call = claim.begin();
    assert_eq!(claim.next(&lost), TrialClaimStep::Call(call.clone()));
    let StoreRequest::Swap { key, value, .. } = call else {
        panic!("the claim is one conditional write");
    };
    assert_eq!(TrialRecord::from_key(&key), Some(trial));
    let conflict = Ok(StoreAnswer::Conflict {
        record: Some(Record { value, version: 5 }),
    });
    assert_eq!(claim.next(&conflict), TrialClaimStep::Claimed);
    let mut other = TrialClaim::new(trial, 78, 1);
    assert_eq!(other.next(&conflict), TrialClaimStep::Taken);
    let mut unlucky = TrialClaim::new(trial, 79, 1);
    assert!(matches!(unlucky.next(&lost), TrialClaimStep::Call(_)));
    assert_eq!(unlucky.next(&lost), TrialClaimStep::Unanswered);
}

#[test]
fn key_of_another_record_is_not_a_trial() {
    for key in ["lapismoor/trials/x/1", "lapismoor/trials/1f", "servers/i-1"] {
        assert_eq!(TrialRecord::from_key(key), None, "{key}");
    }
    assert!(!Evidence::is_record_key("servers/i-1"));
    assert!(Evidence::parse(b"{\"interrupted\": 3}").is_err());
}

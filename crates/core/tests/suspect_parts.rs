//! Detection of a prompt part that crashes targets, among sound requests with the other parts of its prompts.

use std::time::Duration;

use lapismoor_core::Moment;
use lapismoor_core::admission::suspects::{
    CRASHES_ALLOWED, MAX_TRIALS, TRIAL_SURVIVAL_TIME, followed_parts,
};
use lapismoor_core::admission::{
    AnsweredAttempt, Belief, Evidence, InterruptedAttempt, SuspectKind, Suspects, TrialRecord,
    Verdict,
};
use lapismoor_core::ids::Fingerprint;
use lapismoor_core::membership::TargetIncarnation;
use lapismoor_core::routing::PromptPart;
use test_case::test_case;

const CRASHING: Fingerprint = 666;
const COMMON: Fingerprint = 7;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn target(number: u64) -> TargetIncarnation {
    TargetIncarnation {
        id: format!("engine-{number}").into(),
        started_unix_ms: 1,
    }
}

/// Records an attempt that was sent at `sent_ms` and cut off at `at_ms`.
fn interrupt(
    suspects: &mut Suspects,
    part: Fingerprint,
    number: u64,
    sent_ms: u64,
    at_ms: u64,
    belief: Belief,
) {
    let interrupted = InterruptedAttempt {
        kind: SuspectKind::PromptPart,
        fingerprint: part,
        target: target(number),
        sent_at: ms(sent_ms),
        had_answer: false,
        belief,
    };
    suspects.record_interrupted_attempt(ms(at_ms), interrupted);
}

/// Records that the target `number` crashed under requests with these parts, 100 ms after they were sent.
fn crash(suspects: &mut Suspects, parts: &[Fingerprint], number: u64, at_ms: u64) {
    for part in parts {
        interrupt(
            suspects,
            *part,
            number,
            at_ms - 100,
            at_ms,
            Belief::Presumed,
        );
    }
    suspects.record_crash(ms(at_ms + 5), &target(number));
}

fn answer(suspects: &mut Suspects, part: Fingerprint, number: u64, at_ms: u64) {
    let answered = AnsweredAttempt {
        kind: SuspectKind::PromptPart,
        fingerprint: part,
        target: target(number),
        sent_at: ms(at_ms - 100),
    };
    suspects.record_answered_attempt(ms(at_ms), answered);
}

fn clear(suspects: &mut Suspects, at_ms: u64) {
    suspects.clear_answered(ms(at_ms), Some(ms(at_ms)), Moment::ZERO, |_| true);
}

/// Guards against counting the requests of a part one by one: all are different.
#[test]
fn part_is_tried_alone_after_the_crashes_that_are_allowed() {
    let mut suspects = Suspects::new(1);
    for number in 1..=3 {
        assert_eq!(suspects.verdict(ms(1_000 * number), CRASHING), Verdict::Run);
        crash(&mut suspects, &[CRASHING], number, 1_000 * number);
    }
    let verdict = suspects.verdict(ms(3_500), CRASHING);
    assert_eq!(verdict, Verdict::Trial { number: 1 });
    assert_eq!(suspects.verdict(ms(3_500), COMMON), Verdict::Run);
}

/// Guards against crashing a target for each trial without end.
#[test]
fn part_is_refused_after_its_trials() {
    let mut suspects = Suspects::new(1);
    let mut crashes = 0;
    for second in 1..300 {
        match suspects.verdict(ms(1_000 * second), CRASHING) {
            Verdict::Run => {}
            Verdict::Refuse { .. } => continue,
            Verdict::Trial { number } => suspects.record_trial(
                ms(1_000 * second),
                TrialRecord {
                    fingerprint: CRASHING,
                    number,
                },
            ),
        }
        crashes += 1;
        crash(&mut suspects, &[CRASHING], second, 1_000 * second + 200);
    }
    assert_eq!(crashes, CRASHES_ALLOWED + MAX_TRIALS as usize);
}

/// Guards against taking the crash of a failure domain for the work of a part that is everywhere.
#[test]
fn failure_domain_that_crashes_at_once_makes_no_part_suspect() {
    let mut suspects = Suspects::new(1);
    for number in 1..=6 {
        crash(&mut suspects, &[COMMON], number, 1_000 + number);
    }
    assert_eq!(suspects.verdict(ms(1_200), COMMON), Verdict::Run);
    // Others are answered, before a target crashes that took over some of the load.
    answer(&mut suspects, COMMON, 8, 1_300);
    crash(&mut suspects, &[COMMON], 7, 1_500);
    assert_eq!(suspects.verdict(ms(1_600), COMMON), Verdict::Run);
}

/// Guards against attempts of one request that crash a target every 50 ms and are taken for one failure domain.
#[test]
fn crashes_of_one_request_in_quick_succession_follow_each_other() {
    let mut suspects = Suspects::new(1);
    for number in 1..=3 {
        let sent_ms = 1_000 + 50 * number;
        interrupt(
            &mut suspects,
            CRASHING,
            number,
            sent_ms,
            sent_ms + 45,
            Belief::Presumed,
        );
    }
    assert_ne!(suspects.verdict(ms(1_300), CRASHING), Verdict::Run);
}

/// Guards against crashes in such quick succession that requests are sent before those of others are known.
#[test]
fn part_is_suspected_after_many_crashes_in_quick_succession() {
    let mut suspects = Suspects::new(1);
    for number in 1..=4 {
        crash(&mut suspects, &[CRASHING], number, 1_000 + number);
    }
    assert_eq!(suspects.verdict(ms(1_100), CRASHING), Verdict::Run);
    crash(&mut suspects, &[CRASHING], 5, 1_300);
    assert_ne!(suspects.verdict(ms(1_400), CRASHING), Verdict::Run);
}

/// Guards against refusing the parts that all requests of a route share, also if the targets that answer
/// them crash under the crashing part a moment later.
#[test_case(1; "another target answers")]
#[test_case(0; "the next target to crash answers")]
fn part_that_is_answered_between_the_crashes_may_run(offset: u64) {
    let mut suspects = Suspects::new(1);
    for number in 1..=12 {
        let at_ms = 1_000 * number;
        let answering = number + 100 * offset;
        for pause_ms in [900, 600, 400, 300] {
            answer(&mut suspects, COMMON, answering, at_ms - pause_ms);
        }
        crash(&mut suspects, &[COMMON, CRASHING], number, at_ms);
        assert_eq!(suspects.verdict(ms(at_ms), COMMON), Verdict::Run);
    }
    assert_ne!(suspects.verdict(ms(12_100), CRASHING), Verdict::Run);
}

/// Guards against refusing a rare part for crashes that another part explains.
#[test]
fn part_whose_crashes_another_part_explains_may_run() {
    let rare = 9;
    let mut suspects = Suspects::new(1);
    for number in 1..=7 {
        let parts: &[Fingerprint] = if number <= 4 {
            &[CRASHING, rare]
        } else {
            &[CRASHING]
        };
        crash(&mut suspects, parts, number, 1_000 * number);
    }
    assert_eq!(suspects.verdict(ms(7_100), rare), Verdict::Run);
    assert_ne!(suspects.verdict(ms(7_100), CRASHING), Verdict::Run);
    // Crashes of its own are not explained.
    for number in 8..=10 {
        crash(&mut suspects, &[rare], number, 1_000 * number);
    }
    assert_ne!(suspects.verdict(ms(10_100), rare), Verdict::Run);
    assert_ne!(suspects.verdict(ms(10_100), CRASHING), Verdict::Run);
}

/// Guards against excusing a part that was answered before it began to crash targets, as after a new release. Each
/// session, with a part of its own, is at `attempts` of the crashes.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn part_that_was_answered_before_is_blamed_too(attempts: u64) {
    let mut suspects = Suspects::new(1);
    answer(&mut suspects, CRASHING, 100, 500);
    let mut crashes = 0;
    for number in 1..=30 {
        let at_ms = 1_000 * number;
        if suspects.verdict(ms(at_ms - 200), CRASHING) != Verdict::Run {
            break;
        }
        crashes += 1;
        let session = 1_000 + number / attempts;
        crash(&mut suspects, &[CRASHING, session], number, at_ms);
    }
    // Five and three more, by the users' requirement.
    assert!(crashes <= 8, "{crashes}");
}

/// Guards against a part that is cleared and later has no trials left.
#[test]
fn part_that_is_answered_in_a_trial_gets_all_trials_again() {
    let mut suspects = Suspects::new(1);
    for round in 0..5 {
        let start_ms = 20_000 * round;
        for number in 1..=3 {
            let at_ms = start_ms + 1_000 * number;
            crash(&mut suspects, &[COMMON], 10 * round + number, at_ms);
        }
        let verdict = suspects.verdict(ms(start_ms + 3_200), COMMON);
        let Verdict::Trial { number } = verdict else {
            panic!("round {round}: {verdict:?}");
        };
        let trial = TrialRecord {
            fingerprint: COMMON,
            number,
        };
        suspects.record_trial(ms(start_ms + 3_200), trial);
        let verdict = suspects.verdict(ms(start_ms + 3_300), COMMON);
        assert!(matches!(verdict, Verdict::Refuse { .. }), "{verdict:?}");
        answer(&mut suspects, COMMON, 5, start_ms + 3_500);
        let survived = ms(start_ms + 3_500) + TRIAL_SURVIVAL_TIME;
        suspects.record_presence(&target(5), survived, Some(ms(start_ms)));
        clear(&mut suspects, start_ms + 3_800);
        assert_eq!(suspects.verdict(ms(start_ms + 3_800), COMMON), Verdict::Run);
    }
}

/// Guards against daemons that see one crash each, and against one that starts again and reads all records at
/// once, in any order.
#[test]
fn crashes_that_different_daemons_saw_are_added() {
    let mut daemons: Vec<Suspects> = (1..=3).map(Suspects::new).collect();
    let mut records: Vec<Evidence> = Vec::new();
    for number in 1..=3 {
        let witness = usize::try_from(number).expect("few") - 1;
        crash(&mut daemons[witness], &[CRASHING], number, 1_000 * number);
        let shared = daemons[witness].take_unshared(ms(1_000 * number + 300));
        let (evidence, is_urgent) = shared.expect("evidence");
        assert_eq!(is_urgent, number > 1);
        records.push(Evidence::parse(&evidence.to_json()).expect("valid evidence"));
        for daemon in &mut daemons {
            daemon.merge(ms(1_000 * number + 300), &evidence);
        }
    }
    let mut restarted = Suspects::new(9);
    for record in records.iter().rev() {
        restarted.merge(ms(5_000), record);
    }
    daemons.push(restarted);
    for daemon in &daemons {
        let verdict = daemon.verdict(ms(5_000), CRASHING);
        assert_eq!(verdict, Verdict::Trial { number: 1 });
    }
}

/// Guards against a chain that is not seen because the callers left and each crash is confirmed later.
#[test]
fn crashes_after_the_callers_left_count_once_they_are_confirmed() {
    let mut suspects = Suspects::new(1);
    for number in 1..=3 {
        let sent_ms = 1_000 * number;
        let left_ms = sent_ms + 50;
        interrupt(
            &mut suspects,
            CRASHING,
            number,
            sent_ms,
            left_ms,
            Belief::Unknown,
        );
    }
    assert_eq!(suspects.verdict(ms(3_200), CRASHING), Verdict::Run);
    for number in 1..=3 {
        suspects.record_crash(ms(3_300 + number), &target(number));
    }
    assert_ne!(suspects.verdict(ms(3_400), CRASHING), Verdict::Run);
}

/// Guards against records of earlier versions that are not understood during a replacement of the daemons.
#[test]
fn record_of_an_earlier_version_is_about_the_content() {
    let text = br#"{"witness":5,"interrupted":[{"fingerprint":666,"target":{"id":"engine-1",
        "started_unix_ms":1},"is_consecutive":true,"occurrences":1}],"withdrawn":[]}"#;
    let evidence = Evidence::parse(text).expect("valid evidence");
    assert_eq!(evidence.interrupted[0].kind, SuspectKind::Content);
    let mut suspects = Suspects::new(1);
    assert_eq!(suspects.merge(ms(100), &evidence), vec![CRASHING]);
}

/// Guards against a process that ends because a record holds the greatest numbers there are.
#[test]
fn greatest_numbers_in_records_are_taken() {
    let text = br#"{"witness":5,"interrupted":[{"kind":"prompt_part","fingerprint":666,"target":{"id":"engine-1",
        "started_unix_ms":18446744073709551615},"is_consecutive":true,"depth":4294967295,
        "occurrences":4294967295}],"withdrawn":[]}"#;
    let evidence = Evidence::parse(text).expect("valid evidence");
    let mut suspects = Suspects::new(1);
    suspects.merge(ms(100), &evidence);
    crash(&mut suspects, &[CRASHING], 2, 1_000);
    suspects.record_trial(
        ms(1_100),
        TrialRecord {
            fingerprint: CRASHING,
            number: u32::MAX,
        },
    );
    let verdict = suspects.verdict(ms(100_000), CRASHING);
    assert!(matches!(verdict, Verdict::Refuse { .. }), "{verdict:?}");
}

/// The last part is the request's own, and a service may serve what another one's targets crash under.
#[test]
fn shared_parts_of_a_service_are_followed() {
    let part = |id| PromptPart { id, tokens: 10 };
    let ids = |parts: &[PromptPart]| -> Vec<u64> {
        let followed = followed_parts(&"pool".into(), parts);
        followed.into_iter().map(|(id, _)| id).collect()
    };
    assert_eq!(ids(&[]), Vec::<u64>::new());
    assert_eq!(ids(&[part(1)]), Vec::<u64>::new());
    assert_eq!(ids(&[part(3), part(2), part(3), part(1)]), vec![2, 3]);
    let many: Vec<PromptPart> = (0..10_000).map(part).collect();
    assert!(ids(&many).len() < 100);
    let parts = [part(1), part(2)];
    let elsewhere = followed_parts(&"other".into(), &parts);
    assert_ne!(elsewhere, followed_parts(&"pool".into(), &parts));
}

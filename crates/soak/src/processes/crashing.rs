//! Repeats a request that ends its engines during a run, and checks how many it ended.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use demo::crashing::{
    self, CRASH_ALTHOUGH_CANCELLED, CrashingAnswer, ENDS_OF_A_PART, ENDS_OF_A_REQUEST, Identity,
    MAX_LATE_RUNS, send_and_leave,
};
use demo::fleet::Fleet;

use super::plan::{CrashingSend, Fault, FaultPlan, FaultStep};

/// Text that identifies the request in the records of the engines.
const MARKER: &str = "soak-crashing";
/// Text that identifies the request whose callers leave.
const ABANDONED_MARKER: &str = "soak-abandoned";
/// Chat whose context ends engines, and start of the markers of the requests in it.
const CRASHING_CHAT: &str = "soak-part";
/// Time after a fault of a daemon's process in which the users' rule does not hold for it.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// One repeat and its answer.
pub(super) struct Sent {
    send: CrashingSend,
    answer: CrashingAnswer,
}

/// The repeats of both requests, and the requests that share a part.
pub(super) struct AllSent {
    crashing: Vec<Sent>,
    abandoned: Vec<Sent>,
    sharing_part: Vec<Sent>,
}

/// Sends all repeats at their times, without waiting for the answers of earlier ones.
pub(super) async fn send_all(
    start: Instant,
    plan: FaultPlan,
    addresses: Vec<SocketAddr>,
) -> AllSent {
    let crashing = plan.crashing.into_iter().map(|send| {
        let address = addresses[send.daemon];
        async move {
            tokio::time::sleep_until((start + send.at).into()).await;
            let identity = if send.has_key {
                Identity::NewKey
            } else {
                Identity::None
            };
            let answer = crashing::send(address, MARKER, identity).await;
            Sent { send, answer }
        }
    });
    let abandoned = plan.abandoned.into_iter().map(|send| {
        let address = addresses[send.daemon];
        async move {
            tokio::time::sleep_until((start + send.at).into()).await;
            let sending = send_and_leave(address, ABANDONED_MARKER, CRASH_ALTHOUGH_CANCELLED);
            let answer = sending.await;
            Sent { send, answer }
        }
    });
    let numbered = plan.sharing_part.into_iter().enumerate();
    let sharing_part = numbered.map(|(number, send)| {
        let address = addresses[send.daemon];
        async move {
            tokio::time::sleep_until((start + send.at).into()).await;
            let marker = format!("{CRASHING_CHAT}-{number}");
            let answer = crashing::send_in_chat(address, CRASHING_CHAT, &marker).await;
            Sent { send, answer }
        }
    });
    let (crashing, abandoned, sharing_part) = futures::join!(
        futures::future::join_all(crashing),
        futures::future::join_all(abandoned),
        futures::future::join_all(sharing_part)
    );
    AllSent {
        crashing,
        abandoned,
        sharing_part,
    }
}

/// Returns the guarantees that the requests violated.
pub(super) fn verify(
    fleet: &Fleet,
    sent: &AllSent,
    steps: &[FaultStep],
) -> io::Result<Vec<String>> {
    let mut violations = Vec::new();
    for (marker, sent, ends) in [
        (MARKER, &sent.crashing, ENDS_OF_A_REQUEST),
        (ABANDONED_MARKER, &sent.abandoned, ENDS_OF_A_REQUEST),
        (CRASHING_CHAT, &sent.sharing_part, ENDS_OF_A_PART),
    ] {
        violations.extend(verify_one(fleet, (marker, ends), sent, steps)?);
    }
    Ok(violations)
}

fn verify_one(
    fleet: &Fleet,
    (marker, ends): (&str, usize),
    sent: &[Sent],
    steps: &[FaultStep],
) -> io::Result<Vec<String>> {
    let mut runs = crashing::runs_with_prefix(fleet, marker)?;
    let answers: Vec<CrashingAnswer> = sent.iter().map(|sent| sent.answer.clone()).collect();
    let false_refusals = crashing::false_refusals(&answers, &runs);
    let mut violations: Vec<String> = false_refusals
        .iter()
        .map(|answer| format!("reported as not run, but an engine began to run it: {answer:?}"))
        .collect();
    let last_ms = runs.get(ends - 1).map(|run| run.time_ms);
    runs.retain(|run| {
        let is_early = last_ms.is_some_and(|last_ms| run.time_ms <= last_ms);
        is_early || !is_excused(&run.attempt, sent, steps)
    });
    let late = crashing::runs_after(&runs, ends);
    if late > MAX_LATE_RUNS {
        let times: Vec<u64> = runs.iter().map(|run| run.time_ms).collect();
        violations.push(format!(
            "{marker}: a request that ends engines reached {late} engines too late, at {times:?}"
        ));
    }
    Ok(violations)
}

/// Whether an attempt was sent by a daemon whose own process was killed, stopped or suspended
/// shortly before: the users' rule does not hold for it.
fn is_excused(attempt: &str, sent: &[Sent], steps: &[FaultStep]) -> bool {
    let is_own = |sent: &&Sent| attempt.starts_with(&sent.answer.request_id);
    let Some(sent) = sent.iter().find(is_own) else {
        return false;
    };
    steps.iter().any(|step| {
        let is_daemon = match step.fault {
            Fault::KillDaemon(daemon)
            | Fault::StopDaemon { daemon, .. }
            | Fault::PauseDaemon(daemon) => daemon == sent.send.daemon,
            _ => false,
        };
        let until = step.at + step.duration + CONTACT_TIME;
        is_daemon && (step.at..until).contains(&sent.send.at)
    })
}

//! Callers whose answers are on the way.

use std::sync::Arc;

use lapismoor_caller::CallerAnswer;
use lapismoor_core::answer::AnswerPart;
use lapismoor_core::ids::CallerId;
use lapismoor_engine::Flow;
use lapismoor_peer::{RelayedAnswer, Sink};
use tokio::sync::mpsc::{Receiver, UnboundedReceiver, UnboundedSender};

use super::is_end;
use lapismoor_edge::spans::Hop;

/// First number of the callers that other daemons relay; own callers count from below.
const FIRST_RELAYED: CallerId = 1 << 63;

struct Caller {
    id: CallerId,
    answers: UnboundedSender<CallerAnswer>,
    flow: Arc<Flow>,
    /// The span of the caller's hop; ends with the entry.
    hop: Option<Hop>,
}

/// Callers whose answers are on the way.
#[derive(Default)]
pub(super) struct Callers {
    /// Invariant: sorted by id.
    callers: Vec<Caller>,
    relayed: u64,
}

impl Callers {
    pub(super) fn add(
        &mut self,
        id: CallerId,
        answers: UnboundedSender<CallerAnswer>,
        flow: Arc<Flow>,
    ) {
        let caller = Caller {
            id,
            answers,
            flow,
            hop: None,
        };
        match self.position(id) {
            Ok(position) => self.callers[position] = caller,
            Err(position) => self.callers.insert(position, caller),
        }
    }

    pub(super) fn set_hop(&mut self, id: CallerId, hop: Option<Hop>) {
        if let Ok(position) = self.position(id) {
            self.callers[position].hop = hop;
        }
    }

    pub(super) fn next_relayed(&mut self) -> CallerId {
        self.relayed += 1;
        FIRST_RELAYED + self.relayed
    }

    pub(super) fn remove(&mut self, id: CallerId) {
        if let Ok(position) = self.position(id) {
            self.callers.remove(position);
        }
    }

    /// Sends part of an answer; the last part ends the entry.
    pub(super) fn send(&mut self, id: CallerId, answer: CallerAnswer) {
        let Ok(position) = self.position(id) else {
            return;
        };
        let caller = &mut self.callers[position];
        if let (CallerAnswer::Fail(failure), Some(hop)) = (&answer, &mut caller.hop) {
            hop.note(
                "outcome",
                format!("{:?} {:?}", failure.outcome, failure.kind),
            );
        }
        if let CallerAnswer::Part(AnswerPart::Data(bytes)) = &answer {
            caller.flow.put(bytes.len());
        }
        let is_last = is_end(&answer);
        let sent = caller.answers.send(answer);
        if is_last || sent.is_err() {
            self.callers.remove(position);
        }
    }

    pub(super) fn get(&self, id: CallerId) -> Option<(UnboundedSender<CallerAnswer>, Arc<Flow>)> {
        let caller = &self.callers[self.position(id).ok()?];
        Some((caller.answers.clone(), Arc::clone(&caller.flow)))
    }

    /// What holds back a stream to these callers.
    pub(super) fn flows(&self, ids: &[CallerId]) -> Vec<Arc<Flow>> {
        let known = ids.iter().filter_map(|id| self.position(*id).ok());
        known
            .map(|position| Arc::clone(&self.callers[position].flow))
            .collect()
    }

    pub(super) fn len(&self) -> usize {
        self.callers.len()
    }

    fn position(&self, id: CallerId) -> Result<usize, usize> {
        self.callers.binary_search_by_key(&id, |caller| caller.id)
    }
}

/// Passes an answer to the daemon whose caller waits for it; false when it broke off.
pub(super) async fn send_to_sink(
    answers: &mut UnboundedReceiver<CallerAnswer>,
    flow: &Flow,
    sink: &Sink,
) -> bool {
    while let Some(answer) = answers.recv().await {
        let is_last = is_end(&answer);
        let relayed = match answer {
            CallerAnswer::Part(part) => RelayedAnswer::Part(part),
            CallerAnswer::Fail(failure) => RelayedAnswer::Fail(failure),
            CallerAnswer::Ticket(_) => continue,
        };
        if sink.send(&relayed).await.is_err() {
            return false;
        }
        if let RelayedAnswer::Part(AnswerPart::Data(bytes)) = &relayed {
            flow.take(bytes.len());
        }
        if is_last {
            return true;
        }
    }
    false
}

/// Passes a relayed answer to the caller that waits here; false when it broke off.
pub(super) async fn pass_relayed(
    mut relayed: Receiver<RelayedAnswer>,
    answers: UnboundedSender<CallerAnswer>,
    flow: Arc<Flow>,
) -> bool {
    while let Some(answer) = relayed.recv().await {
        let answer = match answer {
            RelayedAnswer::Part(part) => CallerAnswer::Part(part),
            RelayedAnswer::Fail(failure) => CallerAnswer::Fail(failure),
        };
        if let CallerAnswer::Part(AnswerPart::Data(bytes)) = &answer {
            flow.put(bytes.len());
        }
        let is_last = is_end(&answer);
        if answers.send(answer).is_err() || is_last {
            return true;
        }
        while !flow.has_room() {
            flow.wait().await;
        }
    }
    false
}

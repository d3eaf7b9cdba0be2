//! Serves other daemons from this daemon's copy of the store.

use std::rc::Rc;
use std::time::Duration;

use actix_web::rt;
use futures::FutureExt;
use lapismoor_core::Moment;
use lapismoor_core::ids::StoreRevision;
use lapismoor_core::membership::StoreItem;
use lapismoor_core::stream::OriginSource;
use lapismoor_core::stream::origins::is_streams_record_key;
use lapismoor_mirror::{MirrorAnswer, MirrorSource};

use super::follow::max_healthy_age;
use super::observations::take_exchange;
use super::suspects::hand_over;
use super::update::StoreUpdate;
use crate::context::Edge;
use crate::paths::relay;

/// Returns the handlers for list and watch requests of other daemons.
pub(crate) fn mirror_source(edge: &Rc<Edge>) -> MirrorSource {
    let for_list = Rc::clone(edge);
    let for_watch = Rc::clone(edge);
    let for_report = Rc::clone(edge);
    let for_exchange = Rc::clone(edge);
    let for_permits = Rc::clone(edge);
    let for_limits = Rc::clone(edge);
    let for_streams = Rc::clone(edge);
    let for_lookups = Rc::clone(edge);
    let for_relays = Rc::clone(edge);
    MirrorSource {
        list: Rc::new(move || {
            let edge = Rc::clone(&for_list);
            async move { list(&edge) }.boxed_local()
        }),
        watch: Rc::new(move |after, wait| {
            let edge = Rc::clone(&for_watch);
            async move { watch(&edge, after, wait).await }.boxed_local()
        }),
        report: Rc::new(move |records| take_report(&for_report, records)),
        exchange: Rc::new(move |observations, since| {
            take_exchange(&for_exchange, &observations, since)
        }),
        take_permit: Rc::new(move |request| for_permits.answer_permit(&request)),
        tell_limits: Rc::new(move |limits| for_limits.merge_told_limits(&limits)),
        tell_streams: Rc::new(move |streams, are_relayed| {
            let source = if are_relayed {
                OriginSource::Relayed
            } else {
                OriginSource::Told
            };
            for_streams.keep_origins(&streams, source);
        }),
        find_stream: Rc::new(move |stream, service| for_lookups.look_up_stream(stream, service)),
        relay: Rc::new(move |call| relay(Rc::clone(&for_relays), call)),
    }
}

/// Applies what another daemon saw of interrupted requests before the store lists it; other records
/// are ignored.
fn take_report(edge: &Rc<Edge>, records: Vec<StoreItem>) {
    for record in records {
        if let Some(StoreUpdate::Evidence { key, evidence }) = (edge.store.decode)(&record) {
            edge.merge_evidence(&key, &evidence);
            rt::spawn(hand_over(Rc::clone(edge), record));
        }
    }
}

fn list(edge: &Edge) -> Option<MirrorAnswer> {
    let state = edge.state.borrow();
    Some(MirrorAnswer {
        items: state.mirror.items().to_vec(),
        revision: state.mirror.revision()?,
        age: state.freshness.age(edge.now())?,
        held: Duration::ZERO,
    })
}

async fn watch(edge: &Edge, after: StoreRevision, wait: Duration) -> Option<MirrorAnswer> {
    let received_at = edge.now();
    if has_lost_store(edge) {
        // The other daemon has to find another source.
        return changes_since(edge, after, received_at)?;
    }
    let waiting = async {
        loop {
            let notified = edge.store_changed.notified();
            let changes = changes_since(edge, after, received_at);
            let has_changes = changes.as_ref().is_none_or(|answer| {
                let items = answer.iter().flat_map(|answer| &answer.items);
                items.count() > 0
            });
            if has_changes {
                return;
            }
            notified.await;
        }
    };
    // Whether there are changes or the time is up, the answer is the state after the wait.
    drop(tokio::time::timeout(wait, waiting).await);
    changes_since(edge, after, received_at)?
}

/// Whether the copy is older than it gets while no call fails.
fn has_lost_store(edge: &Edge) -> bool {
    let now = edge.now();
    let tuning = &edge.settings.tuning;
    let max_age = max_healthy_age(edge).max(tuning.max_mirror_age);
    edge.state.borrow().freshness.is_older_than(now, max_age)
}

/// The changes after a revision. The outer option is `None` if the mirror no longer has all of
/// them; the inner one is `None` while the mirror has no revision or no known age.
#[expect(clippy::option_option)]
fn changes_since(
    edge: &Edge,
    after: StoreRevision,
    received_at: Moment,
) -> Option<Option<MirrorAnswer>> {
    let now = edge.now();
    let state = edge.state.borrow();
    let mut items = state.mirror.changes_since(after)?;
    // Daemons that start read these with the list; those that run ask for a stream.
    items.retain(|item| !is_streams_record_key(&item.key));
    let answer = state.mirror.revision().zip(state.freshness.age(now));
    Some(answer.map(|(revision, age)| MirrorAnswer {
        items,
        revision: revision.max(after),
        age,
        held: now.saturating_sub(received_at),
    }))
}

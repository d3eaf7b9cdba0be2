//! Answers other daemons from this daemon's copy of the store.

use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt;
use lapismoor_core::Moment;
use lapismoor_core::ids::StoreRevision;
use lapismoor_mirror::{MirrorAnswer, MirrorSource};

use crate::context::Edge;

/// What this daemon tells others.
pub(crate) fn telling(edge: &Rc<Edge>) -> MirrorSource {
    let for_list = Rc::clone(edge);
    let for_watch = Rc::clone(edge);
    MirrorSource {
        list: Rc::new(move || {
            let edge = Rc::clone(&for_list);
            async move { tell_all(&edge) }.boxed_local()
        }),
        watch: Rc::new(move |after, wait| {
            let edge = Rc::clone(&for_watch);
            async move { tell_changes(&edge, after, wait).await }.boxed_local()
        }),
    }
}

fn tell_all(edge: &Edge) -> Option<MirrorAnswer> {
    let state = edge.state.borrow();
    Some(MirrorAnswer {
        items: state.mirror.items().to_vec(),
        revision: state.mirror.revision()?,
        age: state.freshness.age(edge.now())?,
        held: Duration::ZERO,
    })
}

async fn tell_changes(edge: &Edge, after: StoreRevision, wait: Duration) -> Option<MirrorAnswer> {
    let asked_at = edge.now();
    if let Some(answer) = changes(edge, after, asked_at)?.filter(|answer| !answer.items.is_empty())
    {
        return Some(answer);
    }
    // No answer in time and news are told alike: by what is known at the end.
    drop(tokio::time::timeout(wait, edge.store_changed.notified()).await);
    changes(edge, after, asked_at)?
}

/// None if the changes are not all there; an answer without age is none at all.
#[expect(clippy::option_option)]
fn changes(edge: &Edge, after: StoreRevision, asked_at: Moment) -> Option<Option<MirrorAnswer>> {
    let now = edge.now();
    let state = edge.state.borrow();
    let items = state.mirror.since(after)?;
    let answer = state.mirror.revision().zip(state.freshness.age(now));
    Some(answer.map(|(revision, age)| MirrorAnswer {
        items,
        revision: revision.max(after),
        age,
        held: now.saturating_sub(asked_at),
    }))
}

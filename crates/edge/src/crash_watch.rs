//! Checks the targets at which requests were given up, or that answered a suspect request, so that a
//! crash is known before the entry of the target expires.

use std::rc::Rc;
use std::time::Duration;

use lapismoor_core::ids::TargetKey;

use crate::context::Edge;

/// Time in which a target that runs accepts a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Checks watched targets for as long as the daemon runs.
pub(crate) async fn watch_targets(edge: Rc<Edge>) {
    loop {
        let began = edge.crash_watch_began.notified();
        let check_at = edge.state.borrow().crash_watch.next_check_at();
        let Some(check_at) = check_at else {
            began.await;
            continue;
        };
        let wait = check_at.saturating_sub(edge.now());
        // A check of a target that is watched from now on may be due earlier.
        let _ = tokio::time::timeout(wait, began).await;
        let now = edge.now();
        let due = edge.state.borrow_mut().crash_watch.take_due(now);
        let checks = due.into_iter().map(|target| check(&edge, target));
        futures::future::join_all(checks).await;
        edge.clear_answered();
    }
}

/// Checks one target: an idle connection that is still open shows that it runs, and costs nothing.
/// Otherwise it is asked for a connection, which is kept for later requests.
async fn check(edge: &Edge, target: TargetKey) {
    let now = edge.now();
    if let Some(since) = edge.connections.open_since(now, target) {
        edge.target_present(target, now, Some(since));
        return;
    }
    edge.metrics.connections_opened.add(1, &[]);
    match edge.connect_lastingly(target, CONNECT_TIMEOUT).await {
        Ok(opened) => {
            edge.target_present(target, now, None);
            edge.keep_connection(target, opened.connection);
        }
        Err(error) if error.is_refused() => {
            edge.target_unreachable(target, error.name());
            edge.target_may_restart(target);
            if let Some(incarnation) = edge.incarnation_of(target) {
                edge.target_crashed(&incarnation);
            }
            edge.state.borrow_mut().crash_watch.end(target);
        }
        // The target may be overloaded, or the path to it interrupted.
        Err(_) => {}
    }
}

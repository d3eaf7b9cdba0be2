//! Connections to other daemons that are kept open while they are in use.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use lapismoor_core::Moment;
use lapismoor_core::membership::DaemonRecord;
use lapismoor_mirror::{MirrorClient, MirrorError};

use crate::context::Edge;

/// Time for which a daemon that did not answer is not asked again.
pub(crate) const FAILURE_BACKOFF: Duration = Duration::from_secs(1);
/// Time after which an unused connection to another daemon is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Connections to the daemons that are asked for permits and streams.
#[derive(Default)]
pub struct Peers {
    peers: RefCell<Vec<Peer>>,
}

/// Another daemon.
struct Peer {
    daemon: DaemonRecord,
    connection: Option<Rc<MirrorClient>>,
    used_at: Moment,
    /// Until when it is not asked, since it did not answer.
    failed_until: Moment,
}

impl Peers {
    /// Closes connections that are not in use.
    pub(crate) fn close_idle(&self, now: Moment) {
        self.peers.borrow_mut().retain(|peer| {
            let is_used = now.saturating_sub(peer.used_at) < IDLE_TIMEOUT;
            is_used || now < peer.failed_until
        });
    }

    /// The open connection to a daemon.
    fn connection(&self, now: Moment, daemon: &DaemonRecord) -> Option<Rc<MirrorClient>> {
        let mut peers = self.peers.borrow_mut();
        let peer = peers.iter_mut().find(|peer| peer.daemon == *daemon)?;
        peer.used_at = now;
        peer.connection.clone()
    }

    /// Whether a daemon did not answer a moment ago, so that it is not asked.
    pub(crate) fn is_backed_off(&self, now: Moment, daemon: &DaemonRecord) -> bool {
        let peers = self.peers.borrow();
        let mut peers = peers.iter();
        peers.any(|peer| peer.daemon == *daemon && now < peer.failed_until)
    }

    /// Replaces what is known of a daemon: its connection, or until when it is not asked.
    fn set(
        &self,
        now: Moment,
        daemon: &DaemonRecord,
        connection: Option<Rc<MirrorClient>>,
        failed_until: Moment,
    ) {
        let mut peers = self.peers.borrow_mut();
        peers.retain(|peer| peer.daemon.id != daemon.id);
        peers.push(Peer {
            daemon: daemon.clone(),
            connection,
            used_at: now,
            failed_until,
        });
    }
}

impl Edge {
    /// Returns the open connection to a daemon, or opens one.
    ///
    /// # Errors
    /// [`MirrorError`] if the daemon is unreachable.
    pub(crate) async fn peer_connection(
        &self,
        daemon: &DaemonRecord,
    ) -> Result<Rc<MirrorClient>, MirrorError> {
        if let Some(connection) = self.peers.connection(self.now(), daemon) {
            return Ok(connection);
        }
        let connecting = MirrorClient::connect(daemon.address, self.peer_bytes.clone());
        let connection = Rc::new(connecting.await?);
        let kept = Some(Rc::clone(&connection));
        self.peers.set(self.now(), daemon, kept, Moment::ZERO);
        Ok(connection)
    }

    /// Closes the connection to a daemon that did not answer, and does not ask it for a while.
    pub(crate) fn peer_failed(&self, daemon: &DaemonRecord) {
        let now = self.now();
        self.peers.set(now, daemon, None, now + FAILURE_BACKOFF);
    }
}

//! Tasks that follow attempts on targets.

use lapismoor_core::ids::AttemptId;
use tokio::task::JoinHandle;

use lapismoor_edge::spans::Hop;

struct Following {
    attempt: AttemptId,
    task: JoinHandle<()>,
    /// The span of the attempt; ends with the entry.
    _hop: Option<Hop>,
}

/// Tasks that follow attempts. Ending one closes its connection.
#[derive(Default)]
pub(super) struct Attempts {
    /// Invariant: sorted by attempt.
    following: Vec<Following>,
}

impl Attempts {
    /// Follows an attempt; a task that followed it before is ended.
    pub(super) fn follow(&mut self, attempt: AttemptId, task: JoinHandle<()>, hop: Option<Hop>) {
        self.drop_finished();
        let following = Following {
            attempt,
            task,
            _hop: hop,
        };
        match self.position(attempt) {
            Ok(position) => {
                self.following[position].task.abort();
                self.following[position] = following;
            }
            Err(position) => self.following.insert(position, following),
        }
    }

    /// Ends the task of an attempt.
    pub(super) fn end(&mut self, attempt: AttemptId) {
        if let Ok(position) = self.position(attempt) {
            self.following.remove(position).task.abort();
        }
    }

    /// Number of attempts on the way.
    pub(super) fn len(&self) -> usize {
        let running = self.following.iter().filter(|f| !f.task.is_finished());
        running.count()
    }

    /// Forgets attempts whose tasks are done, which ends their spans.
    pub(super) fn drop_finished(&mut self) {
        self.following
            .retain(|following| !following.task.is_finished());
    }

    fn position(&self, attempt: AttemptId) -> Result<usize, usize> {
        self.following
            .binary_search_by_key(&attempt, |following| following.attempt)
    }
}

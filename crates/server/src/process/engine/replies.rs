//! Replies that may be asked for again after a connection was lost.

use std::collections::VecDeque;
use std::time::Duration;

use azurepath_decide::name::{Map, Name};
use azurepath_decide::request::Id;
use tokio::time::Instant;

use super::Reply;

/// How long a reply is kept.
const KEEP: Duration = Duration::from_secs(30);

/// The most payload bytes that are kept.
const KEEP_BYTES: usize = 8 << 20;

/// The most replies that are kept.
const KEEP_COUNT: usize = 10_000;

/// The most recent replies, bounded in age, number and bytes.
#[derive(Debug, Default)]
pub(super) struct Replies {
    replies: Map<Id, (Name, Reply)>,
    order: VecDeque<(Instant, Id)>,
    bytes: usize,
}

impl Replies {
    /// Keeps a reply to a team's request.
    pub(super) fn keep(&mut self, id: Id, team: Name, reply: Reply) {
        let now = Instant::now();
        self.bytes += reply.payload.len();
        if let Some((_, old)) = self.replies.insert(id, (team, reply)) {
            self.bytes -= old.payload.len();
        } else {
            self.order.push_back((now, id));
        }
        while self.is_over(now) {
            self.drop_oldest();
        }
    }

    /// Returns the reply to a team's request.
    pub(super) fn get(&self, id: Id, team: &Name) -> Option<&Reply> {
        let (owner, reply) = self.replies.get(&id)?;
        (owner == team).then_some(reply)
    }

    /// Returns how many are kept.
    pub(super) fn count(&self) -> usize {
        self.replies.len()
    }

    fn is_over(&self, now: Instant) -> bool {
        let old = self
            .order
            .front()
            .is_some_and(|(since, _)| now - *since > KEEP);
        old || self.bytes > KEEP_BYTES || self.replies.len() > KEEP_COUNT
    }

    fn drop_oldest(&mut self) {
        let Some((_, id)) = self.order.pop_front() else {
            return;
        };
        if let Some((_, reply)) = self.replies.remove(&id) {
            self.bytes -= reply.payload.len();
        }
    }
}

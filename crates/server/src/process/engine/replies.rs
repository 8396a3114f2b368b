//! Replies that are kept in case a caller retries after its connection was lost.

use std::collections::VecDeque;
use std::time::Duration;

use azurepath_decide::name::{Map, Name};
use azurepath_decide::request::Id;
use tokio::time::Instant;

use super::Reply;

/// The time for which a reply is kept.
const MAX_AGE: Duration = Duration::from_secs(30);

/// The maximum of payload bytes kept, over all replies.
const MAX_BYTES: usize = 8 << 20;

/// The maximum number of replies kept.
const MAX_REPLIES: usize = 10_000;

/// The most recent replies, bounded in age, number and payload bytes.
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
        while self.exceeds_bounds(now) {
            self.drop_oldest();
        }
    }

    /// Returns the reply to a request, if the request is the team's.
    pub(super) fn get(&self, id: Id, team: &Name) -> Option<&Reply> {
        let (owner, reply) = self.replies.get(&id)?;
        (owner == team).then_some(reply)
    }

    /// Returns the number of replies kept.
    pub(super) fn count(&self) -> usize {
        self.replies.len()
    }

    fn exceeds_bounds(&self, now: Instant) -> bool {
        let old = self
            .order
            .front()
            .is_some_and(|(kept_at, _)| now - *kept_at > MAX_AGE);
        old || self.bytes > MAX_BYTES || self.replies.len() > MAX_REPLIES
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

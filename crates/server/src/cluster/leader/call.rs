//! Calls of clients and of other instances, and their answers.

use std::collections::VecDeque;
use std::time::Duration;

use azurepath_decide::batch::caller::Caller;
use azurepath_decide::batch::{Answer, JobId};
use azurepath_decide::name::Name;
use azurepath_wire::batch::{Call, Reply};
use opentelemetry::KeyValue;
use slog::info;
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::Leader;
use crate::cluster::clock;
use crate::cluster::election::UNREACHABLE_LEADER_TIMEOUT;

/// How long the leader holds a poll for a question.
const POLL_WAIT: Duration = Duration::from_millis(1_000);

/// An instance's poll for a question that waits for its reply.
pub(super) struct Poll {
    instance: Name,
    reply: oneshot::Sender<Reply>,
    until: Instant,
}

impl Leader {
    pub(super) fn call(&mut self, call: Call, reply: oneshot::Sender<Reply>) {
        self.note_peer(&call);
        match call {
            Call::Submit { job, caller, spec } => {
                if !self.scheduler.permits(job, &caller) {
                    send(reply, Reply::Taken);
                    return;
                }
                if let Some(refusal) = self.refusal_of(job) {
                    send(reply, refusal);
                    return;
                }
                let call = self.register_call(reply);
                let Caller { queue, account, .. } = caller;
                self.scheduler.submit(call, job, &queue, account, spec);
            }
            Call::Cancel { job, caller } => self.cancel(job, &caller, reply),
            Call::State { job, caller } => {
                let state = self.scheduler.state(job);
                let state = state.filter(|_| self.scheduler.permits(job, &caller));
                let answer = match state {
                    Some(state) => Reply::State(state),
                    None => self.unknown(),
                };
                send(reply, answer);
            }
            Call::Pending { queue } => {
                send(reply, Reply::Pending(self.scheduler.pending(&queue)));
            }
            Call::Poll { instance, answered } => {
                if let Some((step, advice)) = answered {
                    self.scheduler.handle_advice(step, advice.as_ref());
                }
                self.poll(Name::from(instance), reply);
            }
            Call::Carry {
                instance,
                link_kbps,
            } => self.links.poll(&Name::from(instance), link_kbps, reply),
            Call::Carried { epoch, outcomes } => {
                self.links.carried(epoch, outcomes);
                send(reply, Reply::Noted);
            }
            Call::Relay {
                instance,
                failure_domain,
                capacity,
                sequence,
                epoch,
                seen,
                events,
            } => {
                let instance = Name::from(instance);
                let relay = self.links.relay(
                    &instance,
                    &Name::from(failure_domain),
                    capacity,
                    sequence,
                    (epoch, seen),
                    events,
                );
                self.links.answer_relay(instance, relay, reply);
            }
        }
    }

    /// Remembers that there is another instance if a call is made by one on its own behalf.
    fn note_peer(&mut self, call: &Call) {
        if let Call::Poll { instance, .. }
        | Call::Carry { instance, .. }
        | Call::Relay { instance, .. } = call
            && **instance != *self.context.name
        {
            self.peer_called = Some(Instant::now());
        }
    }

    /// Returns the reply to a submission that is not handed to the scheduler. A job that is known
    /// already always is.
    fn refusal_of(&self, job: JobId) -> Option<Reply> {
        if self.scheduler.state(job).is_some() {
            return None;
        }
        if !self.authority.holds() {
            return Some(Reply::NotLeading);
        }
        let rows = self.scheduler.unstored_rows();
        let writing = self.writing_time();
        let pause = self.store_pace.retry_after(rows, writing)?;
        let kind = KeyValue::new("kind", "refused");
        self.context.counts.jobs.add(1, &[kind]);
        let retry_after_ms = u64::try_from(pause.as_millis()).unwrap_or(u64::MAX);
        info!(self.context.log, "job refused for a slow store"; "job" => %job,
            "epoch" => self.epoch, "write_ms" => writing.as_millis() as u64, "rows" => rows,
            "retry_after_ms" => retry_after_ms);
        Some(Reply::Refused { retry_after_ms })
    }

    fn cancel(&mut self, job: JobId, caller: &Caller, reply: oneshot::Sender<Reply>) {
        if self.scheduler.state(job).is_none() || !self.scheduler.permits(job, caller) {
            send(reply, self.unknown());
        } else {
            let call = self.register_call(reply);
            self.scheduler.cancel(call, job);
        }
    }

    /// Returns the reply about a job that the scheduler does not know. A successor may have accepted
    /// it, so this instance must be confirmed more recently than for its orders.
    fn unknown(&self) -> Reply {
        if self.authority.unconfirmed_for() < UNREACHABLE_LEADER_TIMEOUT {
            Reply::Unknown
        } else {
            Reply::NotLeading
        }
    }

    /// Keeps an instance's poll until there is a question for it.
    fn poll(&mut self, instance: Name, reply: oneshot::Sender<Reply>) {
        self.dispatcher.mark_idle(&instance, clock::now());
        self.scheduler
            .set_advice_instances(self.dispatcher.instances());
        self.polls.push_back(Poll {
            instance,
            reply,
            until: Instant::now() + POLL_WAIT,
        });
    }

    fn register_call(&mut self, reply: oneshot::Sender<Reply>) -> u64 {
        self.next_call += 1;
        self.calls.insert(self.next_call, reply);
        self.next_call
    }

    pub(super) fn answer(&mut self, call: u64, answer: &Answer) {
        let Some(reply) = self.calls.remove(&call) else {
            return;
        };
        let answer = match answer {
            Answer::Accepted => Reply::Accepted,
            Answer::Refused(pause) => Reply::Refused {
                retry_after_ms: u64::try_from(pause.as_millis()).unwrap_or(u64::MAX),
            },
            Answer::Cancelled => Reply::Cancelled,
            Answer::Unknown => Reply::Unknown,
            Answer::TooLarge => Reply::TooLarge,
        };
        send(reply, answer);
    }

    /// Hands waiting questions to the polling instances.
    pub(super) fn answer_polls(&mut self) {
        let now = clock::now();
        let mut idle = VecDeque::new();
        while self.dispatcher.waiting() > 0
            && let Some(poll) = self.polls.pop_front()
        {
            match self.dispatcher.take(&poll.instance, now) {
                Some(question) => send(poll.reply, Reply::Question(Some(question))),
                None => idle.push_back(poll),
            }
        }
        idle.append(&mut self.polls);
        self.polls = idle;
    }

    pub(super) fn expire_polls(&mut self) {
        let now = Instant::now();
        while self.polls.front().is_some_and(|poll| poll.until <= now) {
            if let Some(poll) = self.polls.pop_front() {
                send(poll.reply, Reply::Question(None));
            }
        }
    }
}

/// Sends a reply, unless the caller has gone.
fn send(reply: oneshot::Sender<Reply>, answer: Reply) {
    let _ = reply.send(answer);
}

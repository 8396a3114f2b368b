//! Calls from jobs to the owners of racks, which may be this process itself.

use std::time::Duration;

use azurepath_decide::event;
use azurepath_decide::fleet::Server;
use azurepath_decide::gang::{Hold, HoldRequest};
use azurepath_decide::job::{Action, Event};
use azurepath_decide::name::Name;
use azurepath_decide::request::{Id, Request};
use azurepath_decide::time::Time;
use azurepath_wire::frame::{Document, Frame, Target};
use bytes::Bytes;

use super::super::Process;
use super::super::engine::{Reply, Submission};
use crate::connection::call::Failure;

/// The timeout of a reservation.
const RESERVE_TIMEOUT: Duration = Duration::from_secs(2);

/// The timeout of one try of a commit or a release.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(500);

/// The number of tries of a commit or a release; after that, the reservation expires.
const CONTROL_TRIES: u32 = 2;

/// Calls the owners of racks.
#[derive(Clone)]
pub(super) struct Caller {
    process: Process,
}

impl Caller {
    /// Makes a caller of a process.
    pub(super) fn new(process: Process) -> Caller {
        Caller { process }
    }

    /// Executes an action and returns the events that result.
    pub(super) async fn call(self, action: Action) -> Vec<Event> {
        match action {
            Action::Submit {
                request,
                payload,
                server,
                resume,
            } => vec![self.submit(request, payload, &server, resume).await],
            Action::Expect {
                request,
                payload,
                server,
            } => vec![self.expect(request, payload, &server).await],
            Action::Cancel { request, server } => {
                self.cancel(request, &server);
                Vec::new()
            }
            Action::Reserve {
                ask: hold_request,
                server,
            } => vec![self.reserve(hold_request, &server).await],
            Action::Commit { gang, server } => {
                let commit = event::Event::Commit { gang };
                let frame = Frame::Commit(Target::from(gang));
                let confirmed = self.deliver(&server, commit, frame).await;
                vec![Event::Committed {
                    gang,
                    taken: confirmed,
                }]
            }
            Action::Release { gang, server } => {
                let release = event::Event::Release { gang };
                self.deliver(&server, release, Frame::Release(Target::from(gang)))
                    .await;
                Vec::new()
            }
            Action::Load { .. } | Action::Write { .. } => Vec::new(),
        }
    }

    fn is_self(&self, server: &Name) -> bool {
        self.process.settings.server.name == *server
    }

    fn peer(&self, server: &Name) -> Option<Server> {
        self.process.view.borrow().servers.get(server).cloned()
    }

    async fn submit(
        &self,
        request: Request,
        payload: String,
        server: &Name,
        resume: bool,
    ) -> Event {
        let id = request.id;
        let submission = submission(request, payload);
        if self.is_self(server) {
            let reply = if resume {
                self.process.engine.resume(submission)
            } else {
                self.process.engine.submit(submission)
            };
            return answer_event(id, reply.await.map_err(|_| Failure::Lost));
        }
        self.send(server, &submission, resume).await
    }

    async fn expect(&self, request: Request, payload: String, server: &Name) -> Event {
        let id = request.id;
        let submission = submission(request, payload);
        if self.is_self(server) {
            let reply = self.process.engine.expect(submission);
            return answer_event(id, reply.await.map_err(|_| Failure::Lost));
        }
        self.send(server, &submission, false).await
    }

    async fn send(&self, server: &Name, submission: &Submission, resume: bool) -> Event {
        let id = submission.request.id;
        let Some(peer) = self.peer(server) else {
            return Event::Unsent { request: id };
        };
        let clock = self.process.clock;
        let peers = &self.process.peers;
        answer_event(id, peers.submit(&peer, submission, clock, resume).await)
    }

    fn cancel(&self, request: Id, server: &Name) {
        if self.is_self(server) {
            self.process.engine.cancel(request);
        } else if let Some(peer) = self.peer(server) {
            self.process.peers.cancel(peer, request);
        }
    }

    async fn reserve(&self, hold_request: HoldRequest, server: &Name) -> Event {
        let gang = hold_request.gang;
        let hold =
            tokio::time::timeout(RESERVE_TIMEOUT, self.request_hold(hold_request, server)).await;
        match hold {
            Ok(Some(hold)) => Event::Held {
                gang,
                members: hold.places.iter().map(|place| place.member).collect(),
            },
            Ok(None) | Err(_) => Event::HoldFailed { gang },
        }
    }

    async fn request_hold(&self, mut hold_request: HoldRequest, server: &Name) -> Option<Hold> {
        if self.is_self(server) {
            return self.process.engine.reserve(hold_request).await.ok();
        }
        let peer = self.peer(server)?;
        // The clocks of two servers differ, so the remaining time is sent instead of an instant.
        let remaining = hold_request.expires.since(self.process.clock.now());
        hold_request.expires = Time::default().after(remaining);
        let json = serde_json::to_string(&hold_request).ok()?;
        let frame = Frame::Reserve(Document { json });
        let reply = self.process.peers.control(&peer, &frame, RESERVE_TIMEOUT);
        match reply.await {
            Ok(Frame::Held(document)) => serde_json::from_str(&document.json).ok(),
            Ok(_) | Err(_) => None,
        }
    }

    /// Passes an event to an owner and returns whether the owner has confirmed it.
    async fn deliver(&self, server: &Name, event: event::Event, frame: Frame) -> bool {
        if self.is_self(server) {
            self.process.engine.event(event);
            return true;
        }
        let Some(peer) = self.peer(server) else {
            return false;
        };
        for _ in 0..CONTROL_TRIES {
            let reply = self.process.peers.control(&peer, &frame, CONTROL_TIMEOUT);
            if matches!(reply.await, Ok(Frame::Done)) {
                return true;
            }
        }
        false
    }
}

fn submission(request: Request, payload: String) -> Submission {
    Submission {
        request,
        payload: Bytes::from(payload),
        detached: true,
        keep: true,
    }
}

fn answer_event(request: Id, reply: Result<Reply, Failure>) -> Event {
    match reply {
        Ok(reply) => Event::Answered {
            request,
            verdict: reply.verdict,
        },
        Err(Failure::Unsent) => Event::Unsent { request },
        Err(Failure::Lost) => Event::Broken { request },
    }
}

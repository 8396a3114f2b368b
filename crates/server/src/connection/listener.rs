//! Serves the connections of other servers.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use azurepath_decide::event::Event;
use azurepath_decide::gang::HoldRequest;
use azurepath_decide::request::Id;
use azurepath_decide::share::Summary;
use azurepath_decide::time::Time;
use azurepath_decide::verdict::Verdict;
use azurepath_wire::frame::{self, Document, Fault, Frame, Task};
use azurepath_wire::summary as wire;
use bytes::Bytes;
use h2::RecvStream;
use h2::server::{Builder, Connection, SendResponse};
use http::{Request, Response, StatusCode};
use opentelemetry::metrics::Counter;
use slog::{Logger, debug};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::task::JoinSet;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use super::ping::{self, Timing};
use super::stream::{Reader, Writer};
use super::transport::{self, Transport};
use super::{Error, call, tuning};
use crate::process::clock::Clock;
use crate::process::engine::{self, Submission};
use crate::process::stop::Inflight;
use crate::process::{Control, jobs, router};

/// The longest time to set up a connection.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// The pause after an accept has failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Answers the calls of peers.
pub trait Serve: Clone + Send + 'static {
    /// Returns a service for one new connection.
    fn for_connection(&self) -> Self;

    /// Reads one call and answers it.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the call can't be read or served, or the reply can't be sent.
    fn answer(
        &self,
        reader: &mut Reader,
        writer: &mut Writer,
    ) -> impl Future<Output = Result<(), Error>> + Send;
}

/// How the connections of a listener are watched.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The timing of pings.
    pub ping_timing: Timing,
    /// Counts the open connections.
    pub connections: Inflight,
    /// Counts the calls that could not be served.
    pub faults: Counter<u64>,
    /// The logger.
    pub log: Logger,
}

/// Serves the calls of the other servers of the fleet.
#[derive(Clone)]
pub struct Service {
    /// The clock.
    pub clock: Clock,
    /// Runs the requests for the racks that this server owns.
    pub engine: engine::Handle,
    /// Routes the requests that callers sent to this server.
    pub router: router::Handle,
    /// Runs the jobs whose home is this server.
    pub jobs: jobs::Handle,
    /// Receives the frames `Change`, `Heartbeat` and `Handover`.
    pub control: mpsc::Sender<Control>,
    /// Counts the requests in flight.
    pub inflight: Inflight,
    /// The longest accepted payload in bytes.
    pub payload_limit: u64,
    /// The last summary that was received over the connection.
    pub last_summary: Arc<Mutex<Option<Summary>>>,
}

/// Accepts connections of peers until `halt`, then waits until the open ones are closed.
pub async fn run(
    listener: TcpListener,
    service: impl Serve + Sync,
    setup: Setup,
    halt: CancellationToken,
) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            () = halt.cancelled() => break,
            accepted = listener.accept() => match accepted {
                Ok((socket, _)) => {
                    let service = service.for_connection();
                    connections.spawn(serve(socket, service, setup.clone(), halt.clone()));
                }
                Err(error) => {
                    debug!(setup.log, "accept failed"; "error" => %error);
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            },
            Some(_) = connections.join_next(), if !connections.is_empty() => {}
        }
    }
    while connections.join_next().await.is_some() {}
}

async fn serve(
    socket: TcpStream,
    service: impl Serve + Sync,
    setup: Setup,
    halt: CancellationToken,
) {
    let _guard = setup.connections.enter("peers");
    // The socket also works without `TCP_NODELAY`, only slower.
    let _ = socket.set_nodelay(true);
    let opening = async {
        let transport = transport::accepted(socket).await.ok()?;
        let handshake = Builder::new()
            .initial_window_size(tuning::STREAM_WINDOW_BYTES)
            .initial_connection_window_size(tuning::CONNECTION_WINDOW_BYTES)
            .max_concurrent_streams(tuning::MAX_STREAMS)
            .max_frame_size(tuning::MAX_FRAME_BYTES)
            .max_header_list_size(tuning::MAX_HEADER_LIST_BYTES)
            .handshake::<_, Bytes>(transport);
        handshake.await.ok()
    };
    let opened = tokio::select! {
        () = halt.cancelled() => return,
        opened = timeout(HANDSHAKE_TIMEOUT, opening) => opened,
    };
    let Ok(Some(mut connection)) = opened else {
        setup.faults.add(1, &[]);
        return;
    };
    let Some(pings) = connection.ping_pong() else {
        return;
    };
    let mut streams = JoinSet::new();
    let watch = ping::watch(pings, setup.ping_timing, Arc::new(Notify::new()));
    tokio::pin!(watch);
    let halted = tokio::select! {
        () = accept(&mut connection, &service, &setup, &mut streams) => false,
        _ = &mut watch => false,
        () = halt.cancelled() => true,
    };
    if halted {
        // Finished answers are still sent, unless the peer no longer answers pings.
        connection.graceful_shutdown();
        tokio::select! {
            () = accept(&mut connection, &service, &setup, &mut streams) => {}
            _ = &mut watch => {}
        }
    }
    drop(connection);
    streams.shutdown().await;
}

async fn accept(
    connection: &mut Connection<Transport, Bytes>,
    service: &(impl Serve + Sync),
    setup: &Setup,
    streams: &mut JoinSet<()>,
) {
    loop {
        tokio::select! {
            accepted = connection.accept() => {
                let Some(Ok((request, response))) = accepted else {
                    return;
                };
                streams.spawn(stream(request, response, service.clone(), setup.clone()));
            }
            Some(_) = streams.join_next(), if !streams.is_empty() => {}
        }
    }
}

async fn stream(
    request: Request<RecvStream>,
    mut response: SendResponse<Bytes>,
    service: impl Serve + Sync,
    setup: Setup,
) {
    if request.uri().path() != call::PATH {
        let mut head = Response::new(());
        *head.status_mut() = StatusCode::NOT_FOUND;
        // If the peer is gone, it sees a lost connection instead.
        let _ = response.send_response(head, true);
        return;
    }
    let mut writer = Writer::answer(response);
    let mut reader = Reader::new(request.into_body());
    if let Err(error) = service.answer(&mut reader, &mut writer).await {
        setup.faults.add(1, &[]);
        // `Error::Ended` is not logged: when a task of the peer ends, it drops all its calls, which
        // may be thousands.
        if !matches!(error, Error::Ended) {
            debug!(setup.log, "stream of a peer failed"; "error" => %error);
        }
        let fault = Frame::Fault(Fault {
            kind: "unserved".to_owned(),
            remedy: error.to_string(),
        });
        // If the peer is gone, it sees a lost connection instead.
        let _ = writer.send(&fault, true).await;
    }
}

impl Serve for Service {
    fn for_connection(&self) -> Service {
        Service {
            last_summary: Arc::default(),
            ..self.clone()
        }
    }

    async fn answer(&self, reader: &mut Reader, writer: &mut Writer) -> Result<(), Error> {
        let reply = match reader.frame().await? {
            Frame::Submit(task) => return self.run(task, false, reader, writer).await,
            Frame::Resume(task) => return self.run(task, true, reader, writer).await,
            Frame::Cancel(target) => {
                self.engine.cancel(Id::from(target));
                Frame::Done
            }
            Frame::Summary(summary) => self.summary(summary)?,
            Frame::Reserve(document) => self.reserve(&document).await?,
            Frame::Commit(target) => {
                let gang = Id::from(target);
                self.engine.event(Event::Commit { gang });
                Frame::Done
            }
            Frame::Release(target) => {
                let gang = Id::from(target);
                self.engine.event(Event::Release { gang });
                Frame::Done
            }
            frame @ (Frame::Change(_) | Frame::Heartbeat(_) | Frame::Handover(_)) => {
                self.control(frame).await?
            }
            other => {
                return Err(Error::Unexpected {
                    frame: (&other).into(),
                });
            }
        };
        writer.send(&reply, true).await
    }
}

impl Service {
    /// Runs a task and sends its verdict, with the payload of its answer if it ran.
    async fn run(
        &self,
        task: Task,
        resume: bool,
        reader: &mut Reader,
        writer: &mut Writer,
    ) -> Result<(), Error> {
        let request = task.request(self.clock.now())?;
        // A task without a deadline has no waiting caller. The home of its job resumes it on
        // another server, so a stopping server does not wait for it.
        let no_deadline = request.deadline == Time::MAX;
        let _guard = (!no_deadline).then(|| self.inflight.enter("task"));
        let is_gang_member = request.gang.is_some() && !resume;
        let payload = reader.payload(task.id, 0, self.payload_limit).await?;
        let submission = Submission {
            request,
            payload,
            detached: no_deadline,
            keep: true,
        };
        let reply = if resume {
            self.engine.resume(submission)
        } else if is_gang_member {
            self.engine.expect(submission)
        } else {
            self.engine.submit(submission)
        };
        let reply = reply.await.map_err(|_| Error::Ended)?;
        let id = Id(task.id);
        let verdict = Frame::Verdict(frame::Verdict::new(id, &reply.verdict));
        match &reply.verdict {
            Verdict::Ran { attempt, .. } => {
                writer.send(&verdict, false).await?;
                let number = attempt.number;
                writer.send_payload(task.id, number, &reply.payload).await
            }
            Verdict::NotRun { .. } | Verdict::Unknown { .. } => writer.send(&verdict, true).await,
        }
    }

    /// Applies a summary of a peer's racks.
    fn summary(&self, summary: wire::Summary) -> Result<Frame, Error> {
        let mut last = self
            .last_summary
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let summary = summary.rebuild(last.as_ref()).map_err(|gap| {
            Error::Fault(Fault {
                kind: "gap".to_owned(),
                remedy: gap.to_string(),
            })
        })?;
        *last = Some(summary.clone());
        self.engine.event(Event::Peer(summary.clone()));
        self.router.summary(summary);
        Ok(Frame::Done)
    }

    async fn reserve(&self, document: &Document) -> Result<Frame, Error> {
        let mut hold_request: HoldRequest = parse(document)?;
        // Clocks of servers differ, so `expires` is sent as the remaining time.
        hold_request.expires = self
            .clock
            .now()
            .after(hold_request.expires.since(Time::default()));
        let hold = self
            .engine
            .reserve(hold_request)
            .await
            .map_err(|_| Error::Ended)?;
        let json = serde_json::to_string(&hold).map_err(|error| unreadable(&error))?;
        Ok(Frame::Held(Document { json }))
    }

    async fn control(&self, frame: Frame) -> Result<Frame, Error> {
        let (reply, receiver) = oneshot::channel();
        let control = Control { frame, reply };
        self.control.send(control).await.map_err(|_| Error::Ended)?;
        receiver.await.map_err(|_| Error::Ended)
    }
}

fn parse<T: serde::de::DeserializeOwned>(document: &Document) -> Result<T, Error> {
    serde_json::from_str(&document.json).map_err(|error| unreadable(&error))
}

fn unreadable(error: &serde_json::Error) -> Error {
    Error::Fault(Fault {
        kind: "unreadable".to_owned(),
        remedy: format!("{error}; run the same release on both servers"),
    })
}

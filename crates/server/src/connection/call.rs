//! Calls to another server over a link.

use std::time::Duration;

use azurepath_decide::verdict::Verdict;
use azurepath_wire::frame::{Frame, Task};
use bytes::Bytes;
use http::{Method, Request};
use tokio::time::Instant;

use super::Error;
use super::link::{Handle, Sender};
use super::stream::{Reader, Writer};
use crate::process::engine::Reply;

/// The path of all streams between servers.
pub(crate) const PATH: &str = "/azurepath";

/// The longest time that a call waits for a connection.
const CONNECT_WAIT: Duration = Duration::from_secs(1);

/// The shortest interval at which a waiting call asks for a ping of its connection.
///
/// A call with a deadline uses a quarter of its remaining time instead, if that is longer.
const MIN_PING_INTERVAL: Duration = Duration::from_millis(250);

/// Why a call has no complete reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Failure {
    /// Nothing was sent to the server.
    #[error("no connection to the server could be made; send it elsewhere")]
    Unsent,
    /// The server may have received the call.
    #[error("the connection to the server was lost; resume it over a new one")]
    Lost,
}

/// A request to be sent to the owner of its rack.
pub(crate) struct Call<'a> {
    /// The request as a frame.
    pub(crate) task: Task,
    /// Whether the request was sent before and is resumed.
    pub(crate) resume: bool,
    /// The payload of the request.
    pub(crate) payload: &'a Bytes,
    /// The longest accepted payload of the reply, in bytes.
    pub(crate) reply_limit: u64,
    /// The deadline of the request, if it has one.
    pub(crate) deadline: Option<Instant>,
}

/// Sends a request and waits for its complete reply.
pub(crate) async fn submit(link: &Handle, call: Call<'_>) -> Result<Reply, Failure> {
    let connect_wait = match call.deadline {
        Some(deadline) => CONNECT_WAIT.min(deadline.saturating_duration_since(Instant::now()) / 4),
        None => CONNECT_WAIT,
    };
    let sender = connection(link, connect_wait)
        .await
        .ok_or(Failure::Unsent)?;
    let time_left = call
        .deadline
        .map(|deadline| deadline.saturating_duration_since(Instant::now()));
    let exchange = exchange(sender, call);
    tokio::pin!(exchange);
    let interval = time_left.map_or(MIN_PING_INTERVAL, |left| (left / 4).max(MIN_PING_INTERVAL));
    let mut pings = tokio::time::interval_at(Instant::now() + interval, interval);
    loop {
        tokio::select! {
            result = &mut exchange => return result.map_err(|_| Failure::Lost),
            // A late answer may mean that the connection is broken, which a ping detects.
            _ = pings.tick() => link.ping_now.notify_one(),
        }
    }
}

/// Sends a control frame and waits for its reply, for `timeout` at most.
pub(crate) async fn control(
    link: &Handle,
    frame: &Frame,
    timeout: Duration,
) -> Result<Frame, Failure> {
    let end = Instant::now() + timeout;
    let sender = connection(link, timeout).await.ok_or(Failure::Unsent)?;
    let exchange = async {
        let (mut writer, reader) = open(sender).await?;
        writer.send(frame, true).await?;
        let mut reader = reader.await?;
        reader.frame().await
    };
    match tokio::time::timeout_at(end, exchange).await {
        Ok(Ok(reply)) => Ok(reply),
        Ok(Err(_)) => Err(Failure::Lost),
        Err(_) => {
            link.ping_now.notify_one();
            Err(Failure::Lost)
        }
    }
}

/// Waits for a connection, for `timeout` at most.
async fn connection(link: &Handle, timeout: Duration) -> Option<Sender> {
    let mut senders = link.sender.clone();
    let found = tokio::time::timeout(timeout, senders.wait_for(Option::is_some)).await;
    let found = found.ok()?.ok()?;
    found.clone()
}

/// Opens a stream on a connection.
async fn open(
    sender: Sender,
) -> Result<(Writer, impl Future<Output = Result<Reader, Error>>), Error> {
    let mut sender = sender.ready().await?;
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://peer{PATH}"))
        .body(())
        .map_err(|_| Error::Ended)?;
    let (response, stream) = sender.send_request(request, false)?;
    let reader = async move {
        let response = response.await?;
        Ok(Reader::new(response.into_body()))
    };
    Ok((Writer::new(stream), reader))
}

/// Sends a request on a stream of its own and receives the reply.
async fn exchange(sender: Sender, call: Call<'_>) -> Result<Reply, Error> {
    let id = call.task.id;
    let (mut writer, reader) = open(sender).await?;
    let first_frame = if call.resume {
        Frame::Resume(call.task)
    } else {
        Frame::Submit(call.task)
    };
    let send = async {
        writer.send(&first_frame, false).await?;
        writer.send_payload(id, 0, call.payload).await
    };
    let receive = async {
        let mut reader = reader.await?;
        receive(&mut reader, id, call.reply_limit).await
    };
    // The owner may answer before it has read the whole payload, so a failure to send counts only
    // if no reply has come.
    let (sent, received) = tokio::join!(send, receive);
    if received.is_err() {
        sent?;
    }
    received
}

async fn receive(reader: &mut Reader, id: u128, limit: u64) -> Result<Reply, Error> {
    let verdict = match reader.frame().await? {
        Frame::Verdict(verdict) if verdict.id == id => Verdict::try_from(verdict)?,
        Frame::Verdict(_) => return Err(Error::WrongAttempt),
        Frame::Fault(fault) => return Err(Error::Fault(fault)),
        other => {
            return Err(Error::Unexpected {
                frame: (&other).into(),
            });
        }
    };
    let payload = match &verdict {
        Verdict::Ran { attempt, .. } => reader.payload(id, attempt.number, limit).await?,
        Verdict::NotRun { .. } | Verdict::Unknown { .. } => Bytes::new(),
    };
    Ok(Reply { verdict, payload })
}

//! One call to another server over a link.

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

/// How long a call waits for a connection at most.
const CONNECT_WAIT: Duration = Duration::from_secs(1);

/// The least time after which a call asks for a ping of its connection.
const LEAST_SHARE: Duration = Duration::from_millis(250);

/// Why a call gave no whole reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Failure {
    /// Nothing was sent.
    #[error("no connection to the server could be made; send it elsewhere")]
    Unsent,
    /// The server may have taken it.
    #[error("the connection to the server was lost; resume it over a new one")]
    Lost,
}

/// A request on its way to an owner.
pub(crate) struct Call<'a> {
    /// The request as a frame.
    pub(crate) task: Task,
    /// Whether it is resumed.
    pub(crate) resume: bool,
    /// Its payload.
    pub(crate) payload: &'a Bytes,
    /// The longest answer that is taken, in bytes.
    pub(crate) reply_limit: u64,
    /// When its patience ends.
    pub(crate) deadline: Option<Instant>,
}

/// Sends a request and waits for its whole reply.
pub(crate) async fn submit(link: &Handle, call: Call<'_>) -> Result<Reply, Failure> {
    let wait = match call.deadline {
        Some(deadline) => CONNECT_WAIT.min(deadline.saturating_duration_since(Instant::now()) / 4),
        None => CONNECT_WAIT,
    };
    let sender = ready(link, wait).await.ok_or(Failure::Unsent)?;
    let patience = call
        .deadline
        .map(|deadline| deadline.saturating_duration_since(Instant::now()));
    let exchange = exchange(sender, call);
    tokio::pin!(exchange);
    let share = patience.map_or(LEAST_SHARE, |patience| (patience / 4).max(LEAST_SHARE));
    let mut turns = tokio::time::interval_at(Instant::now() + share, share);
    loop {
        tokio::select! {
            result = &mut exchange => return result.map_err(|_| Failure::Lost),
            // Past its share of the patience, the call has the connection checked.
            _ = turns.tick() => link.ping_now.notify_one(),
        }
    }
}

/// Sends a control frame and waits for its reply.
pub(crate) async fn control(
    link: &Handle,
    frame: &Frame,
    wait: Duration,
) -> Result<Frame, Failure> {
    let end = Instant::now() + wait;
    let sender = ready(link, wait).await.ok_or(Failure::Unsent)?;
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

/// Waits for a connection.
async fn ready(link: &Handle, wait: Duration) -> Option<Sender> {
    let mut watch = link.sender.clone();
    let found = tokio::time::timeout(wait, watch.wait_for(Option::is_some)).await;
    let found = found.ok()?.ok()?;
    found.clone()
}

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

async fn exchange(sender: Sender, call: Call<'_>) -> Result<Reply, Error> {
    let id = call.task.id;
    let (mut writer, reader) = open(sender).await?;
    let first = if call.resume {
        Frame::Resume(call.task)
    } else {
        Frame::Submit(call.task)
    };
    let send = async {
        writer.send(&first, false).await?;
        writer.send_payload(id, 0, call.payload).await
    };
    let receive = async {
        let mut reader = reader.await?;
        receive(&mut reader, id, call.reply_limit).await
    };
    // The owner may answer before it has taken the whole payload.
    let (sent, received) = tokio::join!(send, receive);
    if received.is_err() {
        sent?;
    }
    received
}

async fn receive(reader: &mut Reader, id: u128, limit: u64) -> Result<Reply, Error> {
    let verdict = match reader.frame().await? {
        Frame::Verdict(verdict) if verdict.id == id => Verdict::try_from(verdict)?,
        Frame::Verdict(_) => return Err(Error::Crossed),
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

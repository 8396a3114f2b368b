//! What a client is told of a job that the leader refuses after an earlier try of the same call was lost.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use anyhow::{Result, bail};
use azurepath_standin::cluster::store;
use azurepath_wire::batch::{Call, Reply};
use azurepath_wire::codec::{self, Decoder};
use azurepath_wire::frame::Frame;
use bytes::Bytes;
use h2::server::SendResponse;
use http::{Request, Response, StatusCode};
use serde::Serialize;
use support::Answer;
use support::cluster::{Cluster, id, job_body, submit};
use tokio::net::{TcpListener, TcpStream};

/// How often the leader's row is written, well within the time after which it counts as abandoned.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// The leader's row.
#[derive(Serialize)]
struct Row {
    name: &'static str,
    incarnation: u64,
    address: SocketAddr,
    epoch: u64,
    write: u64,
    term: Term,
}

#[derive(Clone, Copy, Serialize)]
enum Term {
    #[expect(
        dead_code,
        reason = "the first term in the order in which rows are encoded"
    )]
    Recovering,
    Leading,
}

/// Keeps the row of a leader with this address alive.
async fn lead(store: &store::Standin, address: SocketAddr) -> Result<()> {
    for write in 0.. {
        let row = Row {
            name: "leader",
            incarnation: 1,
            address,
            epoch: 1,
            write,
            term: Term::Leading,
        };
        let bytes = bincode::serde::encode_to_vec(row, bincode::config::standard())?;
        store.put_bytes("azurepath", "leader", &bytes);
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
    }
    Ok(())
}

/// Reads a call of an instance.
async fn read(request: Request<h2::RecvStream>) -> Result<Call> {
    let mut body = request.into_body();
    let mut decoder = Decoder::new();
    while let Some(data) = body.data().await {
        decoder.push(&data?);
        if let Some(Frame::Call(call)) = decoder.frame()? {
            return Ok(*call);
        }
    }
    bail!("the stream ended without a call")
}

fn refuse(mut respond: SendResponse<Bytes>) -> Result<()> {
    let refused = Reply::Refused {
        retry_after_ms: 1_000,
    };
    let frame = codec::encode(&Frame::Reply(Box::new(refused)))?;
    let mut stream = respond.send_response(Response::new(()), false)?;
    stream.send_data(frame, true)?;
    Ok(())
}

/// Serves a connection: closes it with the first submission of all, and refuses the others.
async fn serve(socket: TcpStream, submissions: Arc<AtomicUsize>) -> Result<()> {
    let mut connection = h2::server::handshake(socket).await?;
    let mut unanswered = Vec::new();
    while let Some(accepted) = connection.accept().await {
        let (request, respond) = accepted?;
        let call = tokio::select! {
            call = read(request) => call?,
            // Reads from the connection meanwhile.
            _ = std::future::poll_fn(|cx| connection.poll_closed(cx)) => return Ok(()),
        };
        if !matches!(call, Call::Submit { .. }) {
            unanswered.push(respond);
            continue;
        }
        if submissions.fetch_add(1, Ordering::Relaxed) == 0 {
            return Ok(());
        }
        refuse(respond)?;
    }
    Ok(())
}

/// Accepts the connections of instances to a leader that loses the first submission.
async fn accept(listener: TcpListener, submissions: Arc<AtomicUsize>) -> Result<()> {
    loop {
        let (socket, _) = listener.accept().await?;
        // A connection that fails is made again.
        tokio::spawn(serve(socket, submissions.clone()));
    }
}

/// Submits a job to an instance whose leader loses the first `lost` of its submissions. Returns the
/// answer.
async fn submit_to(lost: usize) -> Result<Answer> {
    let cluster = Cluster::start(0)?;
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let submissions = Arc::new(AtomicUsize::new(1 - lost));
    let client = async {
        let instance = cluster.instance("a").await?;
        submit(instance.http, &id(1), &job_body(1, 10, false)).await
    };
    let answer = tokio::select! {
        ended = lead(&cluster.fleet.store, address) => bail!("the leader's row ended: {ended:?}"),
        ended = accept(listener, submissions.clone()) => bail!("the leader ended: {ended:?}"),
        answer = client => answer?,
    };
    assert_eq!(submissions.load(Ordering::Relaxed), 2);
    Ok(answer)
}

/// The earlier try may still arrive, so the job may run although it was refused.
#[tokio::test]
async fn refusal_after_lost_try() -> Result<()> {
    assert_eq!(submit_to(1).await?.status, StatusCode::GATEWAY_TIMEOUT);
    Ok(())
}

/// A refusal of the only try is true.
#[tokio::test]
async fn refusal_of_first_try() -> Result<()> {
    assert_eq!(submit_to(0).await?.status, StatusCode::TOO_MANY_REQUESTS);
    Ok(())
}

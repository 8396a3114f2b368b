//! How many packets an answer to another server takes.

#[path = "support/setup.rs"]
mod setup;

use std::sync::Arc;

use azurepath_server::connection::Error;
use azurepath_server::connection::listener::{self, Serve};
use azurepath_server::connection::stream::{Reader, Writer};
use azurepath_wire::frame::Frame;
use futures::poll;
use http::Request;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

/// Answers each call once the gate opens.
#[derive(Clone)]
struct Gated {
    gate: Arc<Notify>,
    called: Arc<Notify>,
}

impl Serve for Gated {
    fn for_connection(&self) -> Gated {
        self.clone()
    }

    async fn answer(&self, _: &mut Reader, writer: &mut Writer) -> Result<(), Error> {
        self.called.notify_one();
        self.gate.notified().await;
        writer.send(&Frame::Done, true).await
    }
}

#[tokio::test]
async fn no_packet_before_the_answer() -> anyhow::Result<()> {
    let service = Gated {
        gate: Arc::default(),
        called: Arc::default(),
    };
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let halt = CancellationToken::new();
    tokio::spawn(listener::run(
        listener,
        service.clone(),
        setup::without_pings()?,
        halt.clone(),
    ));
    let socket = TcpStream::connect(address).await?;
    let (client, mut connection) = h2::client::handshake(socket).await?;
    let mut pings = connection.ping_pong().expect("it was not taken before");
    tokio::spawn(connection);
    let request = Request::post("http://peer/azurepath").body(())?;
    let (mut response, _stream) = client.ready().await?.send_request(request, false)?;
    service.called.notified().await;
    // What was sent before the second ping was answered has arrived.
    for _ in 0..2 {
        pings.ping(h2::Ping::opaque()).await?;
    }
    assert!(poll!(&mut response).is_pending(), "the head came alone");
    service.gate.notify_one();
    let mut body = response.await?.into_body();
    assert!(body.data().await.is_some());
    halt.cancel();
    Ok(())
}

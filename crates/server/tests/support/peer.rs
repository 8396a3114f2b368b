//! Speaks to a process as another instance does.

#![allow(dead_code, unreachable_pub)]

use std::net::SocketAddr;

use azurepath_wire::codec::Decoder;
use azurepath_wire::frame::Frame;
use bytes::Bytes;
use http::{Method, Request, StatusCode};
use tokio::net::TcpStream;

/// Sends bytes on one stream and returns the status and the frames that come back.
pub(crate) async fn exchange(
    address: SocketAddr,
    path: &str,
    parts: Vec<Bytes>,
) -> anyhow::Result<(StatusCode, Vec<Frame>)> {
    let socket = TcpStream::connect(address).await?;
    let (client, connection) = h2::client::handshake(socket).await?;
    let driver = tokio::spawn(connection);
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://peer{path}"))
        .body(())?;
    let mut client = client.ready().await?;
    let (response, mut stream) = client.send_request(request, false)?;
    for part in parts {
        stream.send_data(part, false)?;
    }
    stream.send_data(Bytes::new(), true)?;
    let response = response.await?;
    let status = response.status();
    let mut body = response.into_body();
    let mut decoder = Decoder::new();
    let mut frames = Vec::new();
    while let Some(data) = body.data().await {
        decoder.push(&data?);
        while let Some(frame) = decoder.frame()? {
            frames.push(frame);
        }
    }
    driver.abort();
    Ok((status, frames))
}

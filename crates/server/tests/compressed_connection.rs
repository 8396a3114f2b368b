//! Connections between servers over narrow links.

#[path = "support/setup.rs"]
mod setup;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use async_compression::tokio::bufread::DeflateDecoder;
use async_compression::tokio::write::DeflateEncoder;
use azurepath_server::connection::Error;
use azurepath_server::connection::listener::{self, Serve};
use azurepath_server::connection::stream::{Reader, Writer};
use azurepath_wire::codec;
use azurepath_wire::frame::{Document, Frame};
use http::Request;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt, BufReader, join};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::io::{InspectReader, InspectWriter};
use tokio_util::sync::CancellationToken;

const CALLS: usize = 100;

/// Returns each frame to its sender.
#[derive(Clone)]
struct Echo;

impl Serve for Echo {
    fn for_connection(&self) -> Echo {
        self.clone()
    }

    async fn answer(&self, reader: &mut Reader, writer: &mut Writer) -> Result<(), Error> {
        let frame = reader.frame().await?;
        writer.send(&frame, true).await
    }
}

/// Sends frames with some of sixteen ids each, and returns once all of them have come back.
async fn call(io: impl AsyncRead + AsyncWrite + Send + Unpin + 'static) -> anyhow::Result<()> {
    let (client, connection) = h2::client::handshake(io).await?;
    tokio::spawn(connection);
    let mut client = client.ready().await?;
    for number in 0..CALLS {
        let ids =
            (0..8).map(|next| format!("i-{:010x}", 0x7a_21d9_4b36 * (1 + (number + next) % 16)));
        let json = ids.collect::<Vec<_>>().join(" ");
        let frame = Frame::Reserve(Document { json });
        let bytes = codec::encode(&frame)?;
        let request = Request::post("http://peer/azurepath").body(())?;
        let (response, mut stream) = client.send_request(request, false)?;
        stream.send_data(bytes, true)?;
        let mut reader = Reader::new(response.await?.into_body());
        assert_eq!(reader.frame().await?, frame);
    }
    Ok(())
}

/// Starts a listener and returns a connection to it, the counter of the bytes on it, and the
/// listener's stop.
async fn connect() -> anyhow::Result<(
    impl AsyncRead + Unpin,
    impl AsyncWrite + Unpin,
    Arc<AtomicUsize>,
    CancellationToken,
)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let halt = CancellationToken::new();
    tokio::spawn(listener::run(
        listener,
        Echo,
        setup::without_pings()?,
        halt.clone(),
    ));
    let (reader, writer) = TcpStream::connect(address).await?.into_split();
    let bytes = Arc::new(AtomicUsize::new(0));
    let count = |bytes: &Arc<AtomicUsize>| {
        let bytes = bytes.clone();
        move |part: &[u8]| {
            bytes.fetch_add(part.len(), Ordering::Relaxed);
        }
    };
    let reader = InspectReader::new(reader, count(&bytes));
    let writer = InspectWriter::new(writer, count(&bytes));
    Ok((reader, writer, bytes, halt))
}

#[tokio::test]
async fn repeated_ids_take_few_bytes() -> anyhow::Result<()> {
    let (reader, writer, plain, stop_plain) = connect().await?;
    call(join(reader, writer)).await?;
    let (reader, mut writer, compressed, stop_compressed) = connect().await?;
    writer.write_all(b"AZPD").await?;
    let reader = DeflateDecoder::new(BufReader::new(reader));
    call(join(reader, DeflateEncoder::new(writer))).await?;
    let (plain, compressed) = (
        plain.load(Ordering::Relaxed),
        compressed.load(Ordering::Relaxed),
    );
    assert!(compressed * 2 < plain, "{compressed} of {plain} bytes");
    stop_plain.cancel();
    stop_compressed.cancel();
    Ok(())
}

#[tokio::test]
async fn wrong_preface() -> anyhow::Result<()> {
    let (reader, mut writer, _, halt) = connect().await?;
    writer.write_all(b"AZXX").await?;
    let mut reader = BufReader::new(reader);
    let ended = tokio::io::AsyncBufReadExt::fill_buf(&mut reader).await;
    assert!(ended.is_err() || ended.is_ok_and(<[u8]>::is_empty));
    halt.cancel();
    Ok(())
}

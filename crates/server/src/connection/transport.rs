//! The transport below `h2`: a plain TCP connection, or one compressed with DEFLATE.
//!
//! The side that connects chooses. A compressed connection begins with [`PREFACE`], a plain one with
//! the preface of HTTP/2.

use std::io;

use async_compression::Level;
use async_compression::tokio::bufread::DeflateDecoder;
use async_compression::tokio::write::DeflateEncoder;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader, Join, join};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio_util::either::Either;

/// The bytes that a compressed connection begins with.
const PREFACE: [u8; 4] = *b"AZPD";

/// A connection whose bytes are compressed in both directions. Ids that were sent before take a few
/// bits, since the compression of a direction goes on from call to call.
type Compressed = Join<DeflateDecoder<BufReader<OwnedReadHalf>>, DeflateEncoder<OwnedWriteHalf>>;

/// A connection to another server.
pub(super) type Transport = Either<TcpStream, Compressed>;

/// Begins a connection that this server has made.
///
/// # Errors
///
/// Returns an error if the connection is lost.
pub(super) async fn connected(mut socket: TcpStream, compress: bool) -> io::Result<Transport> {
    if !compress {
        return Ok(Either::Left(socket));
    }
    socket.write_all(&PREFACE).await?;
    Ok(compressed(socket))
}

/// Begins a connection that another server has made.
///
/// # Errors
///
/// Returns an error if the connection is lost.
pub(super) async fn accepted(mut socket: TcpStream) -> io::Result<Transport> {
    let mut first = [0];
    socket.peek(&mut first).await?;
    if first[0] != PREFACE[0] {
        return Ok(Either::Left(socket));
    }
    let mut preface = [0; PREFACE.len()];
    socket.read_exact(&mut preface).await?;
    if preface != PREFACE {
        return Err(io::ErrorKind::InvalidData.into());
    }
    Ok(compressed(socket))
}

fn compressed(socket: TcpStream) -> Transport {
    let (reader, writer) = socket.into_split();
    Either::Right(join(
        DeflateDecoder::new(BufReader::new(reader)),
        DeflateEncoder::with_quality(writer, Level::Fastest),
    ))
}

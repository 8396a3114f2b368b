//! Encodes frames to bytes and decodes them.
//!
//! | bytes | meaning |
//! | --- | --- |
//! | 4 | magic, `AZPT` |
//! | 2 | protocol version, big endian |
//! | 4 | length of the body, big endian, at most [`MAX_BODY_BYTES`] |
//! | 4 | CRC-32 of the body, big endian |
//! | length | the body: one [`Frame`] by `bincode` |

use bincode::config;
use bytes::{Buf, BufMut, Bytes, BytesMut};

use crate::VERSION;
use crate::frame::Frame;

/// The bytes that each frame begins with.
pub const MAGIC: [u8; 4] = *b"AZPT";

/// The length of a frame's header in bytes.
pub const HEADER_BYTES: usize = 14;

/// The maximum length of a frame's body in bytes.
pub const MAX_BODY_BYTES: usize = 4 << 20;

/// The maximum length of the data in one `Chunk`, in bytes.
pub const MAX_CHUNK_BYTES: usize = 64 << 10;

/// Why bytes could not be decoded. The connection must be closed afterwards.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The bytes belong to another protocol.
    #[error("the bytes are no frame; point only azurepath servers at the peers' port")]
    Magic,
    /// The peer uses another protocol version.
    #[error(
        "the peer speaks version {version}, this server {VERSION}; run the same release on both"
    )]
    Version {
        /// The peer's version.
        version: u16,
    },
    /// The body is longer than [`MAX_BODY_BYTES`].
    #[error("a frame of {length} bytes is longer than {MAX_BODY_BYTES}; send it in parts")]
    Length {
        /// The length of the body, as the header of a received frame gives it.
        length: usize,
    },
    /// The body was corrupted in transit.
    #[error("a frame's checksum is wrong; send the request again over a new connection")]
    Checksum,
    /// The body is not a valid frame of this version.
    #[error("a frame can't be read ({detail}); run the same release on both servers")]
    Body {
        /// The cause.
        detail: String,
    },
    /// The stream ended inside a frame.
    #[error("the stream ended inside a frame; send the request again over a new connection")]
    Truncated,
}

/// Encodes a frame.
///
/// # Errors
///
/// Returns [`Error::Length`] if the body is longer than [`MAX_BODY_BYTES`].
pub fn encode(frame: &Frame) -> Result<Bytes, Error> {
    let body = bincode::serde::encode_to_vec(frame, config::standard())
        .map_err(|error| unreadable(&error))?;
    if body.len() > MAX_BODY_BYTES {
        return Err(Error::Length { length: body.len() });
    }
    let mut bytes = BytesMut::with_capacity(HEADER_BYTES + body.len());
    bytes.put_slice(&MAGIC);
    bytes.put_u16(VERSION);
    bytes.put_u32(body.len() as u32);
    bytes.put_u32(crc32fast::hash(&body));
    bytes.put_slice(&body);
    Ok(bytes.freeze())
}

/// The header of a frame.
#[derive(Clone, Copy, Debug)]
struct Header {
    length: usize,
    checksum: u32,
}

/// Decodes frames from a stream that arrives in pieces of any size.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: BytesMut,
    header: Option<Header>,
    error: Option<Error>,
}

impl Decoder {
    /// Creates a decoder for a new stream.
    pub fn new() -> Decoder {
        Decoder::default()
    }

    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.error.is_none() {
            self.buffer.extend_from_slice(bytes);
        }
    }

    /// Returns the next frame, or `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the bytes are not a valid frame, and again on each later call.
    pub fn frame(&mut self) -> Result<Option<Frame>, Error> {
        if let Some(error) = &self.error {
            return Err(error.clone());
        }
        let result = self.decode_next();
        if let Err(error) = &result {
            self.error = Some(error.clone());
            self.buffer = BytesMut::new();
        }
        result
    }

    /// Checks that the stream ended between two frames.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Truncated`] if it ended inside a frame, or the error of an earlier frame.
    pub fn finish(&self) -> Result<(), Error> {
        if let Some(error) = &self.error {
            return Err(error.clone());
        }
        if self.header.is_some() || !self.buffer.is_empty() {
            return Err(Error::Truncated);
        }
        Ok(())
    }

    fn decode_next(&mut self) -> Result<Option<Frame>, Error> {
        let header = match self.header {
            Some(header) => header,
            None => match self.take_header()? {
                Some(header) => header,
                None => return Ok(None),
            },
        };
        self.header = Some(header);
        if self.buffer.len() < header.length {
            return Ok(None);
        }
        let body = self.buffer.split_to(header.length);
        self.header = None;
        if crc32fast::hash(&body) != header.checksum {
            return Err(Error::Checksum);
        }
        decode(&body).map(Some)
    }

    fn take_header(&mut self) -> Result<Option<Header>, Error> {
        let known = self.buffer.len().min(MAGIC.len());
        if self.buffer[..known] != MAGIC[..known] {
            return Err(Error::Magic);
        }
        if self.buffer.len() < HEADER_BYTES {
            return Ok(None);
        }
        let mut header = self.buffer.split_to(HEADER_BYTES);
        header.advance(MAGIC.len());
        let version = header.get_u16();
        if version != VERSION {
            return Err(Error::Version { version });
        }
        let length = header.get_u32() as usize;
        if length > MAX_BODY_BYTES {
            return Err(Error::Length { length });
        }
        let checksum = header.get_u32();
        Ok(Some(Header { length, checksum }))
    }
}

fn decode(body: &[u8]) -> Result<Frame, Error> {
    let config = config::standard().with_limit::<MAX_BODY_BYTES>();
    let (frame, read) =
        bincode::serde::decode_from_slice(body, config).map_err(|error| unreadable(&error))?;
    if read != body.len() {
        return Err(unreadable(&"bytes are left over"));
    }
    Ok(frame)
}

fn unreadable(detail: &impl ToString) -> Error {
    Error::Body {
        detail: detail.to_string(),
    }
}

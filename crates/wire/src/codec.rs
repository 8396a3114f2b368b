//! Frames as bytes.
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

/// What each frame begins with.
pub const MAGIC: [u8; 4] = *b"AZPT";

/// The length of a frame's head in bytes.
pub const HEADER_BYTES: usize = 14;

/// The longest body of a frame in bytes.
pub const MAX_BODY_BYTES: usize = 4 << 20;

/// The most payload bytes that go into one `Chunk`.
pub const MAX_CHUNK_BYTES: usize = 64 << 10;

/// Why bytes are no frame. The connection can't be used any more.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The bytes are of another protocol.
    #[error("the bytes are no frame; point only azurepath servers at the peers' port")]
    Magic,
    /// The peer speaks another version.
    #[error(
        "the peer speaks version {version}, this server {VERSION}; run the same release on both"
    )]
    Version {
        /// The peer's version.
        version: u16,
    },
    /// The body is longer than a frame may be.
    #[error("a frame of {length} bytes is longer than {MAX_BODY_BYTES}; send it in parts")]
    Length {
        /// The length that the head names.
        length: usize,
    },
    /// The body was changed on its way.
    #[error("a frame's checksum is wrong; send the request again over a new connection")]
    Checksum,
    /// The body is no frame of this version.
    #[error("a frame can't be read ({detail}); run the same release on both servers")]
    Body {
        /// What was seen.
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
/// Returns [`Error::Length`] where the frame is longer than [`MAX_BODY_BYTES`].
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

/// The head of a frame.
#[derive(Clone, Copy, Debug)]
struct Head {
    length: usize,
    checksum: u32,
}

/// Takes bytes in any pieces and gives frames.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: BytesMut,
    head: Option<Head>,
    broken: Option<Error>,
}

impl Decoder {
    /// Makes a decoder at the beginning of a stream.
    pub fn new() -> Decoder {
        Decoder::default()
    }

    /// Takes more bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.broken.is_none() {
            self.buffer.extend_from_slice(bytes);
        }
    }

    /// Gives the next frame, or `None` where more bytes are needed.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] for bytes that are no frame, and from then on for each call.
    pub fn frame(&mut self) -> Result<Option<Frame>, Error> {
        if let Some(error) = &self.broken {
            return Err(error.clone());
        }
        let result = self.step();
        if let Err(error) = &result {
            self.broken = Some(error.clone());
            self.buffer = BytesMut::new();
        }
        result
    }

    /// Ends the stream.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Truncated`] where it ends inside a frame.
    pub fn finish(&self) -> Result<(), Error> {
        if let Some(error) = &self.broken {
            return Err(error.clone());
        }
        if self.head.is_some() || !self.buffer.is_empty() {
            return Err(Error::Truncated);
        }
        Ok(())
    }

    fn step(&mut self) -> Result<Option<Frame>, Error> {
        let head = match self.head {
            Some(head) => head,
            None => match self.take_head()? {
                Some(head) => head,
                None => return Ok(None),
            },
        };
        self.head = Some(head);
        if self.buffer.len() < head.length {
            return Ok(None);
        }
        let body = self.buffer.split_to(head.length);
        self.head = None;
        if crc32fast::hash(&body) != head.checksum {
            return Err(Error::Checksum);
        }
        decode(&body).map(Some)
    }

    fn take_head(&mut self) -> Result<Option<Head>, Error> {
        let known = self.buffer.len().min(MAGIC.len());
        if self.buffer[..known] != MAGIC[..known] {
            return Err(Error::Magic);
        }
        if self.buffer.len() < HEADER_BYTES {
            return Ok(None);
        }
        let mut head = self.buffer.split_to(HEADER_BYTES);
        head.advance(MAGIC.len());
        let version = head.get_u16();
        if version != VERSION {
            return Err(Error::Version { version });
        }
        let length = head.get_u32() as usize;
        if length > MAX_BODY_BYTES {
            return Err(Error::Length { length });
        }
        let checksum = head.get_u32();
        Ok(Some(Head { length, checksum }))
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

//! Frames and payloads on one `h2` stream.

use std::future::poll_fn;

use azurepath_wire::codec::{self, Decoder, MAX_CHUNK_BYTES};
use azurepath_wire::frame::{Chunk, End, Frame};
use bytes::{Bytes, BytesMut};
use h2::{RecvStream, SendStream};

use super::Error;

/// The sending half.
pub struct Writer {
    stream: SendStream<Bytes>,
}

impl Writer {
    /// Makes the sending half.
    pub fn new(stream: SendStream<Bytes>) -> Writer {
        Writer { stream }
    }

    /// Sends a frame; `last` ends the half.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] where the connection is lost or the frame is too long.
    pub async fn send(&mut self, frame: &Frame, last: bool) -> Result<(), Error> {
        let mut bytes = codec::encode(frame)?;
        while !bytes.is_empty() {
            self.stream.reserve_capacity(bytes.len());
            let capacity = poll_fn(|cx| self.stream.poll_capacity(cx)).await;
            let granted = capacity.ok_or(Error::Ended)??;
            let part = bytes.split_to(granted.min(bytes.len()));
            let end = last && bytes.is_empty();
            self.stream.send_data(part, end)?;
        }
        Ok(())
    }

    /// Sends a payload in parts and its end.
    ///
    /// # Errors
    ///
    /// As for [`Writer::send`].
    pub async fn send_payload(
        &mut self,
        id: u128,
        attempt: u32,
        payload: &Bytes,
    ) -> Result<(), Error> {
        let mut rest = payload.clone();
        while !rest.is_empty() {
            let data = rest.split_to(rest.len().min(MAX_CHUNK_BYTES));
            let chunk = Frame::Chunk(Chunk { id, attempt, data });
            self.send(&chunk, false).await?;
        }
        let end = Frame::End(End {
            id,
            attempt,
            length: payload.len() as u64,
            checksum: crc32fast::hash(payload),
        });
        self.send(&end, true).await
    }
}

/// The receiving half.
pub struct Reader {
    stream: RecvStream,
    decoder: Decoder,
}

impl Reader {
    /// Makes the receiving half.
    pub fn new(stream: RecvStream) -> Reader {
        Reader {
            stream,
            decoder: Decoder::new(),
        }
    }

    /// Reads the next frame.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] where the stream ends or its bytes are no frame.
    pub async fn frame(&mut self) -> Result<Frame, Error> {
        loop {
            if let Some(frame) = self.decoder.frame()? {
                return Ok(frame);
            }
            let Some(data) = self.stream.data().await else {
                self.decoder.finish()?;
                return Err(Error::Ended);
            };
            let data = data?;
            self.stream.flow_control().release_capacity(data.len())?;
            self.decoder.push(&data);
        }
    }

    /// Reads the payload of an attempt up to its end; attempt 0 is the request's own payload.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] where it is cut, changed, too long or another's.
    pub async fn payload(&mut self, id: u128, attempt: u32, limit: u64) -> Result<Bytes, Error> {
        let mut payload = BytesMut::new();
        loop {
            match self.frame().await? {
                Frame::Chunk(chunk) => {
                    belongs(id, attempt, chunk.id, chunk.attempt)?;
                    if (payload.len() + chunk.data.len()) as u64 > limit {
                        return Err(Error::TooLong { limit });
                    }
                    payload.extend_from_slice(&chunk.data);
                }
                Frame::End(end) => {
                    belongs(id, attempt, end.id, end.attempt)?;
                    let payload = payload.freeze();
                    let whole = end.length == payload.len() as u64
                        && end.checksum == crc32fast::hash(&payload);
                    return whole.then_some(payload).ok_or(Error::Damaged);
                }
                Frame::Fault(fault) => return Err(Error::Fault(fault)),
                other => {
                    return Err(Error::Unexpected {
                        frame: (&other).into(),
                    });
                }
            }
        }
    }
}

fn belongs(id: u128, attempt: u32, got_id: u128, got_attempt: u32) -> Result<(), Error> {
    let same = id == got_id && attempt == got_attempt;
    same.then_some(()).ok_or(Error::Crossed)
}

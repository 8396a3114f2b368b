//! Reads and writes frames and payloads on an `h2` stream.

use std::future::poll_fn;

use azurepath_wire::codec::{self, Decoder, MAX_CHUNK_BYTES};
use azurepath_wire::frame::{Chunk, End, Frame};
use bytes::{Bytes, BytesMut};
use h2::server::SendResponse;
use h2::{RecvStream, SendStream};
use http::Response;

use super::Error;

/// The sending half of a stream.
pub struct Writer {
    sink: Sink,
    sent: u64,
}

enum Sink {
    /// Nothing has been answered yet.
    Unanswered(SendResponse<Bytes>),
    /// The head was sent.
    Open(SendStream<Bytes>),
}

impl Writer {
    /// Wraps the sending half.
    pub fn new(stream: SendStream<Bytes>) -> Writer {
        Writer {
            sink: Sink::Open(stream),
            sent: 0,
        }
    }

    /// Creates the sending half of an answer. Its head is sent together with the first frame, so
    /// that an answer takes one packet.
    pub fn answer(response: SendResponse<Bytes>) -> Writer {
        Writer {
            sink: Sink::Unanswered(response),
            sent: 0,
        }
    }

    fn open(&mut self) -> Result<&mut SendStream<Bytes>, Error> {
        if let Sink::Unanswered(response) = &mut self.sink {
            self.sink = Sink::Open(response.send_response(Response::new(()), false)?);
        }
        match &mut self.sink {
            Sink::Open(stream) => Ok(stream),
            Sink::Unanswered(_) => Err(Error::Ended),
        }
    }

    /// Returns how many bytes were sent.
    pub fn sent(&self) -> u64 {
        self.sent
    }

    /// Sends a frame; `last` closes the sending half after it.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the connection is lost or the frame is too long.
    pub async fn send(&mut self, frame: &Frame, last: bool) -> Result<(), Error> {
        let mut bytes = codec::encode(frame)?;
        self.sent += bytes.len() as u64;
        let stream = self.open()?;
        while !bytes.is_empty() {
            stream.reserve_capacity(bytes.len());
            let capacity = poll_fn(|cx| stream.poll_capacity(cx)).await;
            let granted = capacity.ok_or(Error::Ended)??;
            let part = bytes.split_to(granted.min(bytes.len()));
            let end = last && bytes.is_empty();
            stream.send_data(part, end)?;
        }
        Ok(())
    }

    /// Sends a payload in chunks, followed by its end frame, and closes the sending half.
    ///
    /// # Errors
    ///
    /// See [`Writer::send`].
    pub async fn send_payload(
        &mut self,
        id: u128,
        attempt: u32,
        payload: &Bytes,
    ) -> Result<(), Error> {
        let mut remaining = payload.clone();
        while !remaining.is_empty() {
            let data = remaining.split_to(remaining.len().min(MAX_CHUNK_BYTES));
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

/// The receiving half of a stream.
pub struct Reader {
    stream: RecvStream,
    decoder: Decoder,
    received: u64,
}

impl Reader {
    /// Wraps the receiving half.
    pub fn new(stream: RecvStream) -> Reader {
        Reader {
            stream,
            decoder: Decoder::new(),
            received: 0,
        }
    }

    /// Returns how many bytes were received.
    pub fn received(&self) -> u64 {
        self.received
    }

    /// Reads the next frame.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the stream ends or its bytes are not a valid frame.
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
            self.received += data.len() as u64;
            self.decoder.push(&data);
        }
    }

    /// Reads the payload of an attempt up to its end frame.
    ///
    /// Attempt 0 stands for the payload of the request itself.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the payload is cut, changed, too long or of another request or attempt.
    pub async fn payload(&mut self, id: u128, attempt: u32, limit: u64) -> Result<Bytes, Error> {
        let mut payload = BytesMut::new();
        loop {
            match self.frame().await? {
                Frame::Chunk(chunk) => {
                    check_attempt(id, attempt, chunk.id, chunk.attempt)?;
                    if (payload.len() + chunk.data.len()) as u64 > limit {
                        return Err(Error::TooLong { limit });
                    }
                    payload.extend_from_slice(&chunk.data);
                }
                Frame::End(end) => {
                    check_attempt(id, attempt, end.id, end.attempt)?;
                    let payload = payload.freeze();
                    let intact = end.length == payload.len() as u64
                        && end.checksum == crc32fast::hash(&payload);
                    return intact.then_some(payload).ok_or(Error::Corrupt);
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

fn check_attempt(id: u128, attempt: u32, got_id: u128, got_attempt: u32) -> Result<(), Error> {
    let same = id == got_id && attempt == got_attempt;
    same.then_some(()).ok_or(Error::WrongAttempt)
}

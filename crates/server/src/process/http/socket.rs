//! The sockets of clients.

use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use anyhow::Context as _;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

use super::gate::Connection;

/// The connections that the kernel may accept before the process takes them.
const BACKLOG: u32 = 1_024;

/// Binds a listener for clients. The kernel keeps about `receive_bytes` of each connection that the
/// process has not read; port 0 lets it choose a free port.
///
/// # Errors
///
/// Returns an error if the address can't be listened on.
pub fn bind(address: SocketAddr, receive_bytes: u32) -> anyhow::Result<TcpListener> {
    let listen = || {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.set_reuseaddr(true)?;
        // Accepted connections inherit the length.
        socket.set_recv_buffer_size(receive_bytes)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    listen().with_context(|| format!("can't listen on {address}; set another address in [server]"))
}

/// A socket that notes when bytes arrive and whether the client takes those of the answers.
pub(super) struct Socket {
    stream: TcpStream,
    connection: Arc<Connection>,
    blocked: bool,
}

impl Socket {
    pub(super) fn new(stream: TcpStream, connection: &Arc<Connection>) -> Socket {
        Socket {
            stream,
            connection: connection.clone(),
            blocked: false,
        }
    }

    fn note(&mut self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        let blocked = written.is_pending();
        if blocked != self.blocked {
            self.blocked = blocked;
            self.connection.sent(blocked);
        }
        written
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if buffer.filled().len() > before {
            self.connection.received();
        }
        result
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.note(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        self.note(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

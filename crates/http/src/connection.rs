//! One connection to a server, for calls that must not reach a later process at the same address.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use http::header::HOST;
use http::{HeaderValue, Request};
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::{Call, Failure, Reply, collect, within};

/// A connection of its own. It ends with the process at its other end, so all its calls go to that
/// process or to none.
pub struct Connection {
    address: SocketAddr,
    sender: http1::SendRequest<Full<Bytes>>,
    /// Reads and writes the socket. It runs only during calls, so that it needs no task.
    driver: Pin<Box<http1::Connection<TokioIo<TcpStream>, Full<Bytes>>>>,
    used_at: Instant,
}

impl Connection {
    /// Connects to a server.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::NotSent`] if there is no connection within `timeout`.
    pub async fn open(address: SocketAddr, timeout: Duration) -> Result<Connection, Failure> {
        let connect = async {
            let stream = TcpStream::connect(address).await?;
            stream.set_nodelay(true)?;
            std::io::Result::Ok(stream)
        };
        let stream = within(timeout, connect)
            .await
            .map_err(|failure| Failure::NotSent(failure.into_detail()))?
            .map_err(|error| Failure::NotSent(format!("no connection: {error}")))?;
        let (sender, driver) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| Failure::NotSent(error.to_string()))?;
        Ok(Connection {
            address,
            sender,
            driver: Box::pin(driver),
            used_at: Instant::now(),
        })
    }

    /// Tells whether the connection is open as far as is known here.
    pub fn is_open(&mut self) -> bool {
        (&mut self.driver).now_or_never().is_none() && !self.sender.is_closed()
    }

    /// Returns the time since the last call ended.
    pub fn idle_time(&self) -> Duration {
        self.used_at.elapsed()
    }

    /// Sends a call and waits for the complete response. After a failure the connection must not be
    /// used again, since a late response would be taken for that to a later call.
    ///
    /// # Errors
    ///
    /// Returns [`Failure`], which tells whether the request may have been sent.
    pub async fn call(&mut self, call: Call) -> Result<Reply, Failure> {
        let limit = call.timeout + call.transfer;
        let reply = within(limit, self.exchange(call)).await?;
        self.used_at = Instant::now();
        reply
    }

    async fn exchange(&mut self, call: Call) -> Result<Reply, Failure> {
        let timeout = call.timeout;
        let mut request = Request::builder()
            .method(call.method)
            .uri(call.path)
            .body(Full::new(call.body))
            .map_err(|error| Failure::NotSent(error.to_string()))?;
        request.headers_mut().extend(call.headers);
        let host = HeaderValue::from_str(&self.address.to_string())
            .map_err(|error| Failure::NotSent(error.to_string()))?;
        request.headers_mut().insert(HOST, host);
        let sender = &mut self.sender;
        let exchange = async {
            let response = async {
                sender.ready().await?;
                sender.send_request(request).await
            };
            let response = within(timeout, response).await?;
            let (parts, body) = response.map_err(|error| classify(&error))?.into_parts();
            collect(parts, body, timeout).await
        };
        drive(exchange, self.driver.as_mut()).await
    }
}

/// Runs an exchange and the connection that it needs.
async fn drive<T>(exchange: impl Future<Output = T>, mut driver: impl Future + Unpin) -> T {
    let mut exchange = pin!(exchange);
    let mut is_closed = false;
    loop {
        tokio::select! {
            biased;
            result = &mut exchange => return result,
            // The exchange ends with an error then, or with the rest of its response.
            _ = &mut driver, if !is_closed => is_closed = true,
        }
    }
}

/// `hyper` reports a request as cancelled only if the connection closed before it was written.
fn classify(error: &hyper::Error) -> Failure {
    if error.is_canceled() {
        Failure::NotSent(error.to_string())
    } else {
        Failure::Lost(error.to_string())
    }
}

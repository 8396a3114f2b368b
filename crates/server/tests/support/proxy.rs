//! A TCP relay that can delay, reset or silence connections, or be as slow as a narrow link.

#![allow(dead_code, unreachable_pub)]

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::Instant;

/// The most bytes that are relayed at a time on a narrow link, where connections take turns.
const PACKET_BYTES: usize = 1_500;

/// The most bytes that are relayed at a time on a link that isn't narrow.
const BUFFER_BYTES: usize = 64 << 10;

/// What the relay does to the traffic.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Fault {
    /// Relays everything.
    #[default]
    None,
    /// Delays each read by this time.
    Delay(Duration),
    /// Closes all connections at once.
    Reset,
    /// Relays nothing from the target to the client.
    OneWay,
    /// Relays nothing in either direction.
    Silence,
}

/// One direction of a link, which all connections share.
struct Lane {
    bytes_per_s: f64,
    free_at: Mutex<Instant>,
}

impl Lane {
    fn new(bytes_per_s: f64) -> Arc<Lane> {
        Arc::new(Lane {
            bytes_per_s,
            free_at: Mutex::new(Instant::now()),
        })
    }

    fn is_narrow(&self) -> bool {
        self.bytes_per_s.is_finite()
    }

    /// Waits until the bytes have passed the link.
    async fn pass(&self, bytes: usize) {
        let until = {
            let mut free_at = self.free_at.lock().unwrap_or_else(PoisonError::into_inner);
            let time = Duration::from_secs_f64(bytes as f64 / self.bytes_per_s);
            *free_at = (*free_at).max(Instant::now()) + time;
            *free_at
        };
        tokio::time::sleep_until(until).await;
    }
}

/// The two directions of a link.
#[derive(Clone)]
struct Lanes {
    forward: Arc<Lane>,
    backward: Arc<Lane>,
}

/// A relay to one target.
pub(crate) struct Proxy {
    /// The address that the relay listens on.
    pub(crate) address: SocketAddr,
    generation: watch::Sender<u64>,
    fault: watch::Sender<Fault>,
    task: JoinHandle<()>,
}

impl Proxy {
    /// Starts a relay to an address.
    pub(crate) async fn start(target: SocketAddr) -> anyhow::Result<Proxy> {
        Proxy::start_narrow(target, f64::INFINITY).await
    }

    /// Starts a relay that passes on so many bytes a second in each direction.
    pub(crate) async fn start_narrow(
        target: SocketAddr,
        bytes_per_s: f64,
    ) -> anyhow::Result<Proxy> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let generation = watch::Sender::new(0);
        let fault = watch::Sender::new(Fault::None);
        let lanes = Lanes {
            forward: Lane::new(bytes_per_s),
            backward: Lane::new(bytes_per_s),
        };
        let accept = accept(listener, target, generation.clone(), fault.clone(), lanes);
        let task = tokio::spawn(accept);
        Ok(Proxy {
            address,
            generation,
            fault,
            task,
        })
    }

    /// Makes all open connections silent for good; new connections work.
    pub(crate) fn silence_open(&self) {
        self.generation.send_modify(|generation| *generation += 1);
    }

    /// Sets the fault of all connections from now on.
    pub(crate) fn set_fault(&self, fault: Fault) {
        self.fault.send_replace(fault);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    generation: watch::Sender<u64>,
    fault: watch::Sender<Fault>,
    lanes: Lanes,
) {
    let mut relays = JoinSet::new();
    while let Ok((near, _)) = listener.accept().await {
        relays.spawn(relay(
            near,
            target,
            generation.subscribe(),
            fault.subscribe(),
            lanes.clone(),
        ));
    }
}

async fn relay(
    near: TcpStream,
    target: SocketAddr,
    mut generation: watch::Receiver<u64>,
    fault: watch::Receiver<Fault>,
    lanes: Lanes,
) {
    generation.mark_unchanged();
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let forward = copy(near_read, far_write, fault.clone(), &lanes.forward, false);
    let backward = copy(far_read, near_write, fault, &lanes.backward, true);
    // Pinned here, because a socket is closed when the copy that owns its halves is dropped.
    tokio::pin!(forward, backward);
    tokio::select! {
        () = &mut forward => {}
        () = &mut backward => {}
        // Both sockets stay open, and nothing is relayed any more.
        _ = generation.changed() => std::future::pending().await,
    }
}

/// Copies one direction until the end of the stream or a reset.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut fault: watch::Receiver<Fault>,
    lane: &Lane,
    is_backward: bool,
) {
    let buffer_bytes = if lane.is_narrow() {
        PACKET_BYTES
    } else {
        BUFFER_BYTES
    };
    let mut buffer = vec![0; buffer_bytes];
    loop {
        let read = tokio::select! {
            read = from.read(&mut buffer) => read,
            _ = fault.wait_for(|fault| *fault == Fault::Reset) => return,
        };
        let Ok(count @ 1..) = read else {
            return;
        };
        let current = *fault.borrow();
        match current {
            Fault::None => {}
            Fault::Delay(delay) => tokio::time::sleep(delay).await,
            Fault::Reset => return,
            Fault::OneWay if !is_backward => {}
            // The bytes that were read are lost.
            Fault::OneWay | Fault::Silence => std::future::pending().await,
        }
        if lane.is_narrow() {
            lane.pass(count).await;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}

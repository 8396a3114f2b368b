//! A relay between two ends that can hold up, cut or lose track of connections.

#![allow(dead_code, unreachable_pub)]

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

/// What the relay does to bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Harm {
    /// Nothing.
    #[default]
    None,
    /// Each piece is held up.
    Delay(Duration),
    /// Connections are closed at once.
    Reset,
    /// Nothing passes from the far end to the near one.
    OneWay,
    /// Nothing passes at all.
    Silence,
}

/// The relay.
pub(crate) struct Proxy {
    /// Where it listens.
    pub(crate) address: SocketAddr,
    generation: watch::Sender<u64>,
    harm: watch::Sender<Harm>,
    task: JoinHandle<()>,
}

impl Proxy {
    /// Starts a relay to an address.
    pub(crate) async fn start(target: SocketAddr) -> anyhow::Result<Proxy> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let generation = watch::Sender::new(0);
        let harm = watch::Sender::new(Harm::None);
        let task = tokio::spawn(accept(listener, target, generation.clone(), harm.clone()));
        Ok(Proxy {
            address,
            generation,
            harm,
            task,
        })
    }

    /// Makes all connections that are open now silent for good; new ones work.
    pub(crate) fn silence(&self) {
        self.generation.send_modify(|generation| *generation += 1);
    }

    /// Harms all connections from now on.
    pub(crate) fn harm(&self, harm: Harm) {
        self.harm.send_replace(harm);
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
    harm: watch::Sender<Harm>,
) {
    let mut relays = JoinSet::new();
    while let Ok((near, _)) = listener.accept().await {
        relays.spawn(relay(
            near,
            target,
            generation.subscribe(),
            harm.subscribe(),
        ));
    }
}

async fn relay(
    near: TcpStream,
    target: SocketAddr,
    mut generation: watch::Receiver<u64>,
    harm: watch::Receiver<Harm>,
) {
    generation.mark_unchanged();
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let there = copy(near_read, far_write, harm.clone(), false);
    let back = copy(far_read, near_write, harm, true);
    // Held here, since a socket closes with the copy that owns its halves.
    tokio::pin!(there, back);
    tokio::select! {
        () = &mut there => {}
        () = &mut back => {}
        // Both sockets stay open and nothing passes any more.
        _ = generation.changed() => std::future::pending().await,
    }
}

/// Copies one direction until its end or a reset.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut harm: watch::Receiver<Harm>,
    is_back: bool,
) {
    let mut buffer = vec![0; 64 << 10];
    loop {
        let read = tokio::select! {
            read = from.read(&mut buffer) => read,
            _ = harm.wait_for(|harm| *harm == Harm::Reset) => return,
        };
        let Ok(count @ 1..) = read else {
            return;
        };
        let now = *harm.borrow();
        match now {
            Harm::None => {}
            Harm::Delay(delay) => tokio::time::sleep(delay).await,
            Harm::Reset => return,
            Harm::OneWay if !is_back => {}
            // What is held up is lost with its connection.
            Harm::OneWay | Harm::Silence => std::future::pending().await,
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}

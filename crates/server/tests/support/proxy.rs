//! A relay between two ends that can lose track of the connections that are open.

#![allow(dead_code, unreachable_pub)]

use std::net::SocketAddr;

use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

/// The relay.
pub(crate) struct Proxy {
    /// Where it listens.
    pub(crate) address: SocketAddr,
    generation: watch::Sender<u64>,
    task: JoinHandle<()>,
}

impl Proxy {
    /// Starts a relay to an address.
    pub(crate) async fn start(target: SocketAddr) -> anyhow::Result<Proxy> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let generation = watch::Sender::new(0);
        let task = tokio::spawn(accept(listener, target, generation.clone()));
        Ok(Proxy {
            address,
            generation,
            task,
        })
    }

    /// Makes all connections that are open now silent for good; new ones work.
    pub(crate) fn silence(&self) {
        self.generation.send_modify(|generation| *generation += 1);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, generation: watch::Sender<u64>) {
    let mut relays = JoinSet::new();
    while let Ok((near, _)) = listener.accept().await {
        relays.spawn(relay(near, target, generation.subscribe()));
    }
}

async fn relay(mut near: TcpStream, target: SocketAddr, mut generation: watch::Receiver<u64>) {
    generation.mark_unchanged();
    let Ok(mut far) = TcpStream::connect(target).await else {
        return;
    };
    tokio::select! {
        _ = copy_bidirectional(&mut near, &mut far) => {}
        // Both sockets stay open and nothing passes any more.
        _ = generation.changed() => std::future::pending().await,
    }
}

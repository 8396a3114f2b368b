//! What the leader makes of the events of workers that another instance renews.

#[path = "support/peer.rs"]
mod peer;
mod support;

use std::net::SocketAddr;

use anyhow::{Result, bail};
use azurepath_decide::batch::carrier::Capacity;
use azurepath_decide::batch::report::Report;
use azurepath_wire::batch::{Call, Event, News, Relay, RelayChange, Reply};
use azurepath_wire::codec;
use azurepath_wire::frame::Frame;
use peer::exchange;
use support::cluster::{Cluster, address};
use support::{Process, until};

/// Settings of a leader that needs others for its workers.
const SMALL: &str = "cores = 0.001\n";

/// The path of calls between instances.
const PATH: &str = "/azurepath";

/// Makes the call of an instance that renews workers.
async fn relay(leader: SocketAddr, epoch: u64, seen: u64, events: &[Event]) -> Result<Relay> {
    let call = Call::Relay {
        instance: "x".to_owned(),
        failure_domain: "a".to_owned(),
        capacity: Capacity {
            millicores: 1_000,
            link_kbps: 1_000_000,
        },
        epoch,
        seen,
        events: events.to_vec(),
    };
    let call = codec::encode(&Frame::Call(Box::new(call)))?;
    let (_, mut frames) = exchange(leader, PATH, vec![call]).await?;
    match frames.pop() {
        Some(Frame::Reply(reply)) => match *reply {
            Reply::Relay(relay) => Ok(relay),
            other => bail!("unexpected reply {other:?}"),
        },
        other => bail!("unexpected frame {other:?}"),
    }
}

fn count(process: &Process, message: &str) -> usize {
    let log = process.log();
    log.iter().filter(|event| event["msg"] == message).count()
}

#[tokio::test]
async fn repeated_lapse() -> Result<()> {
    let cluster = Cluster::start(1)?;
    let leader = cluster.instance_with("a", SMALL).await?;
    let peers = address(&leader, "peers")?;
    let mut attached = None;
    until(async || {
        if let Ok(reply) = relay(peers, 0, 0, &[]).await {
            let mut serials = reply.changes.iter().filter_map(|(_, change)| match change {
                RelayChange::Attach { serial, .. } => Some(*serial),
                _ => None,
            });
            attached = serials.next_back().map(|serial| (reply.epoch, serial));
        }
        attached.is_some()
    })
    .await;
    let (epoch, serial) = attached.unwrap_or_default();
    let report = Report {
        clock_ms: 1_000,
        born_ms: cluster.fleet.workers[0].entry()["born"]
            .as_u64()
            .unwrap_or(0),
        running: Vec::new(),
        ended: Vec::new(),
    };
    let news = [
        News::Report(report.clone()),
        News::Silent("no answer".to_owned()),
        News::Lapsed,
        News::Report(report),
    ];
    let events: Vec<Event> = (1..)
        .zip(news)
        .map(|(number, news)| Event {
            serial,
            number,
            news,
        })
        .collect();
    // The reply to the first call is lost, so the instance makes it again.
    relay(peers, epoch, 1, &events).await?;
    until(async || count(&leader, "worker claimed") == 2).await;
    relay(peers, epoch, 1, &events).await?;
    let last = Event {
        serial,
        number: 5,
        news: News::Silent("no answer again".to_owned()),
    };
    relay(peers, epoch, 1, &[last]).await?;
    until(async || count(&leader, "worker silent") >= 2).await;
    assert_eq!(count(&leader, "worker leases expired"), 1);
    assert_eq!(count(&leader, "worker claimed"), 2);
    Ok(())
}

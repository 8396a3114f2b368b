//! What the leader makes of the events of workers that another instance renews.

#[path = "support/peer.rs"]
mod peer;
mod support;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail};
use azurepath_decide::batch::Attempt;
use azurepath_decide::batch::carrier::Capacity;
use azurepath_decide::batch::report::{Report, Running};
use azurepath_standin::cluster::worker;
use azurepath_standin::fault::Injection;
use azurepath_wire::batch::{Call, Event, News, Relay, RelayChange, Reply, Sequence};
use azurepath_wire::codec;
use azurepath_wire::frame::Frame;
use http::Method;
use peer::exchange;
use support::cluster::{Cluster, address, id, job_body, submit_until};
use support::{Process, call, until};

/// The workers of a leader that gives all of them to one instance.
const WORKERS: usize = 3;

/// Settings of a leader that needs others for its workers.
const SMALL: &str = "cores = 0.001\n";

/// The number of a leader's first change, which gives the instance a worker.
const FIRST_CHANGE: u64 = 1;

/// How long tasks may run on a worker after the last call that has extended their lease: 4 s by a clock
/// that is 2% slow, and 150 ms for late timers.
const LEASE_BOUND: Duration = Duration::from_millis(4_230);

/// The path of calls between instances.
const PATH: &str = "/azurepath";

/// Makes the next call of an instance that renews workers.
async fn relay(leader: SocketAddr, epoch: u64, seen: u64, events: &[Event]) -> Result<Relay> {
    static CALLS: AtomicU64 = AtomicU64::new(0);
    let sequence = Sequence {
        process: 1,
        number: 1 + CALLS.fetch_add(1, Ordering::Relaxed),
    };
    relay_as(sequence, leader, epoch, seen, events).await
}

async fn relay_as(
    sequence: Sequence,
    leader: SocketAddr,
    epoch: u64,
    seen: u64,
    events: &[Event],
) -> Result<Relay> {
    relay_from("x", sequence, leader, epoch, seen, events).await
}

async fn relay_from(
    instance: &str,
    sequence: Sequence,
    leader: SocketAddr,
    epoch: u64,
    seen: u64,
    events: &[Event],
) -> Result<Relay> {
    let call = Call::Relay {
        sequence,
        instance: instance.to_owned(),
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

/// Calls as an instance until the leader gives it a worker. Returns the leader's epoch and the
/// number under which the worker is renewed.
async fn take_worker(leader: SocketAddr) -> (u64, u64) {
    let mut attached = None;
    until(async || {
        if let Ok(reply) = relay(leader, 0, 0, &[]).await {
            let mut serials = reply.changes.iter().filter_map(|(_, change)| match change {
                RelayChange::Attach { serial, .. } => Some(*serial),
                _ => None,
            });
            attached = serials.next_back().map(|serial| (reply.epoch, serial));
        }
        attached.is_some()
    })
    .await;
    attached.unwrap_or_default()
}

/// A leader that has given its only worker to the instance that the test plays.
struct Leader {
    process: Process,
    peers: SocketAddr,
    epoch: u64,
    /// The number under which the worker is renewed.
    serial: u64,
}

impl Leader {
    async fn start(cluster: &Cluster) -> Result<Leader> {
        let process = cluster.instance_with("a", SMALL).await?;
        let peers = address(&process, "peers")?;
        let (epoch, serial) = take_worker(peers).await;
        Ok(Leader {
            process,
            peers,
            epoch,
            serial,
        })
    }

    /// Makes a call with news of the worker, of which the first has the number `first`.
    async fn relay(&self, first: u64, news: &[News]) -> Result<Relay> {
        let events = events(self.serial, first, news.iter().cloned());
        relay(self.peers, self.epoch, FIRST_CHANGE, &events).await
    }

    fn count(&self, message: &str) -> usize {
        count(&self.process, message)
    }
}

/// Numbers news of a worker.
fn events(serial: u64, first: u64, news: impl IntoIterator<Item = News>) -> Vec<Event> {
    let number = |(number, news)| Event {
        serial,
        number,
        age: Duration::ZERO,
        news,
    };
    (first..).zip(news).map(number).collect()
}

fn silent() -> News {
    News::Silent("no answer".to_owned())
}

/// Reads what a worker reports.
async fn report(worker: &worker::Standin) -> Result<Report> {
    let address = worker.entry()["addr"]
        .as_str()
        .unwrap_or_default()
        .parse()?;
    let body = r#"{"fence":1,"ackedUpto":0}"#;
    let headers = [("target-instance", "w0")];
    let answer = call(address, Method::POST, "/api/hold", body, &headers).await?;
    let report: serde_json::Value = answer.json();
    let attempt = |row: &serde_json::Value| -> Result<Running> {
        Ok(Running {
            attempt: Attempt {
                task: row[0].as_str().unwrap_or_default().parse()?,
                run: row[1].as_u64().unwrap_or(0),
            },
            checkpoint: None,
            progress: 0.0,
        })
    };
    let running = report["running"].as_array().into_iter().flatten();
    Ok(Report {
        clock_ms: report["clockMs"].as_u64().unwrap_or(0),
        born_ms: report["born"].as_u64().unwrap_or(0),
        running: running.map(attempt).collect::<Result<_>>()?,
        ended: Vec::new(),
    })
}

#[tokio::test]
async fn repeated_lapse() -> Result<()> {
    let cluster = Cluster::start(1)?;
    let leader = Leader::start(&cluster).await?;
    let report = report(&cluster.fleet.workers[0]).await?;
    let first = [
        News::Report(report.clone()),
        silent(),
        News::Lapsed,
        News::Report(report),
    ];
    // The reply to the first call is lost, so the instance makes it again.
    leader.relay(1, &first).await?;
    until(async || leader.count("worker claimed") == 2).await;
    leader.relay(1, &first).await?;
    leader.relay(5, &[silent()]).await?;
    until(async || leader.count("worker silent") >= 2).await;
    assert_eq!(leader.count("worker leases expired"), 1);
    assert_eq!(leader.count("worker claimed"), 2);
    Ok(())
}

/// An order to start extends the leases, also those that the renewer knows to have expired.
#[tokio::test]
async fn lapse_after_start() -> Result<()> {
    let cluster = Cluster::start(1)?;
    let leader = Leader::start(&cluster).await?;
    let worker = &cluster.fleet.workers[0];
    let claimed = News::Report(report(worker).await?);
    leader.relay(1, &[claimed]).await?;
    submit_until(&[&leader.process], &id(1), &job_body(1, 60_000, false)).await;
    until(async || cluster.fleet.started_runs() == 1).await;
    let running = News::Report(report(worker).await?);
    leader.relay(2, &[silent(), News::Lapsed, running]).await?;
    until(async || leader.count("worker claimed") == 2).await;
    assert_eq!(leader.count("task lost"), 0);
    Ok(())
}

/// Returns the number of workers that an instance is told to renew.
fn attached(relay: &Relay) -> usize {
    let is_attach = |change: &&(u64, RelayChange)| matches!(change.1, RelayChange::Attach { .. });
    relay.changes.iter().filter(is_attach).count()
}

#[tokio::test]
async fn overtaken_call() -> Result<()> {
    let cluster = Cluster::start(WORKERS)?;
    let leader = cluster.instance_with("a", SMALL).await?;
    let peers = address(&leader, "peers")?;
    let mut given = None;
    until(async || {
        let reply = relay(peers, 0, 0, &[]).await.ok();
        given = reply.filter(|reply| attached(reply) == WORKERS);
        given.is_some()
    })
    .await;
    let given = given.context("all workers were given")?;
    let seen = given.changes.last().map_or(0, |(number, _)| *number);
    relay(peers, given.epoch, seen, &[]).await?;
    let first = Sequence {
        process: 1,
        number: 1,
    };
    relay_as(first, peers, given.epoch, 0, &[]).await?;
    assert_eq!(count(&leader, "workers taken back"), 0);

    // A process that has restarted is given workers anew.
    let restarted = |number| Sequence { process: 2, number };
    relay_as(restarted(1), peers, 0, 0, &[]).await?;
    let mut number = 1;
    until(async || {
        number += 1;
        let reply = relay_as(restarted(number), peers, given.epoch, seen, &[]).await;
        reply.is_ok_and(|reply| attached(&reply) == WORKERS)
    })
    .await;
    Ok(())
}

#[tokio::test]
async fn first_call_gets_no_workers() -> Result<()> {
    let cluster = Cluster::start(WORKERS)?;
    let leader = cluster.instance_with("a", SMALL).await?;
    until(async || count(&leader, "worker claimed") == WORKERS).await;
    let reply = relay(address(&leader, "peers")?, 0, 0, &[]).await?;
    assert_eq!(attached(&reply), WORKERS);
    Ok(())
}

/// Returns how long tasks may run on the workers that an instance is told to renew.
fn inherited_leases(relay: &Relay) -> Vec<Duration> {
    let lease = |change: &(u64, RelayChange)| match change.1 {
        RelayChange::Attach {
            inherited_lease, ..
        } => Some(inherited_lease),
        _ => None,
    };
    relay.changes.iter().filter_map(lease).collect()
}

/// The instance goes on calling, as one does that has workers.
#[tokio::test]
async fn fewer_workers_end_all_renewals() -> Result<()> {
    let cluster = Cluster::start(WORKERS + 1)?;
    // Needs others for more than three workers.
    let leader = cluster.instance_with("a", "cores = 0.004\n").await?;
    let peers = address(&leader, "peers")?;
    let mut given = None;
    until(async || {
        let reply = relay(peers, 0, 0, &[]).await.ok();
        given = reply.filter(|reply| attached(reply) == WORKERS + 1);
        given.is_some()
    })
    .await;
    let given = given.context("all workers were given")?;
    let seen = given.changes.last().map_or(0, |(number, _)| *number);
    let mut serials = given.changes.iter().filter_map(|(_, change)| match change {
        RelayChange::Attach { serial, worker, .. } if **worker == *"w0" => Some(*serial),
        _ => None,
    });
    let serial = serials.next_back().context("w0 was given")?;
    cluster.fleet.store.remove("servers", "w0");
    let begun = Instant::now();
    let mut number = 1;
    while begun.elapsed() < Duration::from_secs(8) {
        let gone = events(serial, number, [silent(), News::Lapsed]);
        let reply = relay(peers, given.epoch, seen, &gone).await?;
        if number > 1 && !reply.wanted {
            break;
        }
        number += 2;
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    let fewer = Instant::now();
    while fewer.elapsed() < Duration::from_secs(4) {
        let reply = relay(peers, given.epoch, seen, &[]).await?;
        assert!(!reply.wanted, "the worker has gone");
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    assert_eq!(count(&leader, "workers taken back"), 0);
    Ok(())
}

/// The instance's right to extend leases ends before the leader takes its workers back.
#[tokio::test]
async fn silent_instance_prolongs_leases() -> Result<()> {
    let cluster = Cluster::start(1)?;
    let leader = Leader::start(&cluster).await?;
    let claimed = News::Report(report(&cluster.fleet.workers[0]).await?);
    leader.relay(1, &[claimed]).await?;
    let mut number = 0;
    let mut leases = Vec::new();
    until(async || {
        number += 1;
        let sequence = Sequence { process: 7, number };
        let call = relay_from("y", sequence, leader.peers, leader.epoch, 0, &[]).await;
        leases = call.as_ref().map(inherited_leases).unwrap_or_default();
        !leases.is_empty()
    })
    .await;
    assert!(leases[0] <= LEASE_BOUND, "{leases:?}");
    Ok(())
}

/// The leader has had no answer of the worker for seconds when another instance comes to renew it.
#[tokio::test]
async fn change_of_renewer_prolongs_leases() -> Result<()> {
    let cluster = Cluster::start(1)?;
    let process = cluster.instance_with("a", SMALL).await?;
    until(async || count(&process, "worker claimed") == 1).await;
    cluster.fleet.workers[0].set_faults(Injection {
        silent: true,
        ..Injection::default()
    });
    until(async || count(&process, "worker silent") == 1).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let reply = relay(address(&process, "peers")?, 0, 0, &[]).await?;
    let left = LEASE_BOUND - Duration::from_secs(2);
    let leases = inherited_leases(&reply);
    assert!(leases.iter().all(|lease| *lease <= left), "{leases:?}");
    assert_eq!(leases.len(), 1);
    Ok(())
}

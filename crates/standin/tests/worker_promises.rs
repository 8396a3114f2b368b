//! The guarantees of a worker, checked on its stand-in through the client.

use std::time::Duration;

use azurepath_decide::attempt::{Attempt, Outcome, Refusal, Running};
use azurepath_decide::class::Class;
use azurepath_decide::request;
use azurepath_decide::size::Size;
use azurepath_decide::worker::Interrupt;
use azurepath_services::worker::{Claim, Client, Error, Order, Worker};
use azurepath_standin::fault;
use azurepath_standin::worker::{Settings, Standin};
use bytes::Bytes;

const TIMEOUT: Duration = Duration::from_secs(10);
const LONG_TASK: &[u8] = br#"{"run_ms":600000}"#;

fn size(slots: u64) -> Size {
    Size {
        millicores: 1_000 * slots,
        memory_mib: 100 * slots,
        accelerators: 0,
        slots,
    }
}

fn worker() -> Standin {
    Standin::start(Settings {
        name: "w1".into(),
        capacity: size(2),
        usage_lag: Duration::ZERO,
    })
    .expect("a port and a thread")
}

fn claim(epoch: u64) -> Claim {
    Claim {
        epoch,
        lease_ms: 600_000,
    }
}

fn attempt(id: u128, number: u32) -> Attempt {
    Attempt {
        request: request::Id(id),
        number,
    }
}

fn order(epoch: u64, attempt: Attempt, detached: bool) -> Order {
    Order {
        epoch,
        running: Running {
            attempt,
            team: "pairing".into(),
            kind: "checks".into(),
            class: Class::Urgent,
            size: size(1),
            gang: None,
            idempotent: true,
        },
        detached,
    }
}

#[tokio::test]
async fn whole_answers() {
    let standin = worker();
    let (client, at) = (Client::new(), standin.address());
    client.claim(at, claim(1)).await.unwrap();
    let echo = Bytes::from(vec![7; 300_000]);
    let started = client.start(at, order(1, attempt(1, 1), false), echo.clone(), TIMEOUT);
    let answer = started.await.unwrap();
    assert_eq!((answer.payload, answer.outcome), (echo, Outcome::Done));
    let task = Bytes::from_static(br#"{"run_ms":5,"answer":"fits","fail":false}"#);
    let started = client.start(at, order(1, attempt(2, 1), false), task, TIMEOUT);
    assert_eq!(started.await.unwrap().payload, "fits");
    let again = client.attach(at, attempt(2, 1), TIMEOUT).await.unwrap();
    assert_eq!(again.payload, "fits");
    standin.stop().await.unwrap();
}

#[tokio::test]
async fn truncated_or_mismatched_answers() {
    let standin = worker();
    let (client, at) = (Client::new(), standin.address());
    client.claim(at, claim(1)).await.unwrap();
    standin.set_faults(fault::Worker {
        short_answers: 1,
        crossed_answers: 3,
        ..fault::Worker::default()
    });
    for id in [1, 2] {
        let payload = Bytes::from_static(b"some payload");
        let started = client.start(at, order(1, attempt(id, 1), false), payload, TIMEOUT);
        let error = started.await.unwrap_err();
        assert!(matches!(error, Error::Lost { .. }), "{error}");
        let answer = client.attach(at, attempt(id, 1), TIMEOUT).await;
        assert_eq!(
            answer.is_ok(),
            id == 2,
            "only three answers name the wrong attempt"
        );
    }
    standin.stop().await.unwrap();
}

#[tokio::test]
async fn stale_epochs() {
    let standin = worker();
    let (client, at) = (Client::new(), standin.address());
    client.claim(at, claim(5)).await.unwrap();
    let stale = Err(Error::Refused(Refusal::StaleEpoch));
    assert_eq!(client.claim(at, claim(4)).await.map(drop), stale);
    assert_eq!(client.renew(at, claim(4)).await.map(drop), stale);
    assert_eq!(client.probe(at, 4).await, stale);
    let started = client.start(at, order(4, attempt(1, 1), false), Bytes::new(), TIMEOUT);
    assert_eq!(started.await.map(drop), stale);
    assert_eq!(standin.record().stale_epochs, 4);
    standin.stop().await.unwrap();
}

#[tokio::test]
async fn capacity_and_duplicates() {
    let standin = worker();
    let (client, at) = (Client::new(), standin.address());
    client.claim(at, claim(1)).await.unwrap();
    let long = Bytes::from_static(LONG_TASK);
    for id in [1, 2] {
        let started = client.start(at, order(1, attempt(id, 1), true), long.clone(), TIMEOUT);
        started.await.unwrap();
    }
    for (id, number, refusal) in [
        (1, 1, Refusal::Duplicate),
        (2, 2, Refusal::Duplicate),
        (3, 1, Refusal::NoRoom),
    ] {
        let order = order(1, attempt(id, number), true);
        let error = client.start(at, order, long.clone(), TIMEOUT).await;
        assert_eq!(error, Err(Error::Refused(refusal)));
    }
    client
        .interrupt(at, 1, attempt(1, 1), Interrupt::Checkpoint)
        .await
        .unwrap();
    let renewal = client.renew(at, claim(1)).await.unwrap();
    assert_eq!(renewal.ended[0].outcome, Outcome::Checkpointed);
    assert_eq!(renewal.report.usage[0].used, size(1));
    let resumed = client.start(at, order(1, attempt(1, 2), true), long, TIMEOUT);
    resumed.await.unwrap();
    let inventory = client.claim(at, claim(2)).await.unwrap();
    assert_eq!(inventory.running.len(), 2);
    assert_eq!(standin.record().peak, size(2));
    standin.stop().await.unwrap();
}

#[tokio::test]
async fn expired_lease() {
    let standin = worker();
    let (client, at) = (Client::new(), standin.address());
    let short_lease = Claim {
        epoch: 1,
        lease_ms: 50,
    };
    client.claim(at, short_lease).await.unwrap();
    let long = Bytes::from_static(LONG_TASK);
    let started = client.start(at, order(1, attempt(1, 1), false), long, TIMEOUT);
    assert_eq!(started.await.unwrap().outcome, Outcome::Stopped);
    assert_eq!(standin.record().lapsed, 1);
    standin.stop().await.unwrap();
}

#[tokio::test]
async fn fault_endpoint() {
    let standin = worker();
    let (client, at) = (Client::new(), standin.address());
    client.claim(at, claim(1)).await.unwrap();
    let http = volo_http::client::Client::default();
    let body = r#"{"fail_all":true}"#;
    let set = http.post(format!("http://{at}/fault")).data(body);
    assert_eq!(set.send().await.unwrap().status(), 204);
    let failed = client.start(at, order(1, attempt(1, 1), false), Bytes::new(), TIMEOUT);
    assert_eq!(failed.await.unwrap().outcome, Outcome::Failed);
    assert!(client.probe(at, 1).await.is_err());
    standin.set_faults(fault::Worker {
        leaving: true,
        ..fault::Worker::default()
    });
    let refused = client.start(at, order(1, attempt(2, 1), false), Bytes::new(), TIMEOUT);
    assert_eq!(refused.await, Err(Error::Refused(Refusal::Leaving)));
    assert!(client.renew(at, claim(1)).await.unwrap().leaving);
    standin.stop().await.unwrap();
    let unreachable = client.claim(at, claim(1)).await.map(drop);
    assert_eq!(unreachable, Err(Error::Refused(Refusal::Unreachable)));
}

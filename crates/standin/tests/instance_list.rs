//! The object store and the instance list with its lag.

use azurepath_services::instance::List;
use azurepath_services::object::Store;
use azurepath_services::{instance, object};
use azurepath_standin::fault;
use azurepath_standin::fleet::{Fleet, Rack};
use bytes::Bytes;

#[tokio::test]
async fn lag() {
    let fleet = Fleet::start(&Rack::both_owners()).unwrap();
    let client = instance::Client::new(fleet.address());
    assert_eq!(client.instances().await.unwrap().len(), 8);
    fleet.platform.set_faults(&fault::Platform {
        lag_ms: Some(600_000),
        ..fault::Platform::default()
    });
    assert_eq!(client.instances().await.unwrap().len(), 0);
    fleet.stop().await.unwrap();
}

#[tokio::test]
async fn objects() {
    let platform = azurepath_standin::platform::Standin::start().unwrap();
    let store = object::Client::new(platform.address());
    let missing = store.get("usage/1").await.unwrap_err();
    assert!(matches!(missing, object::Error::Missing { .. }));
    for name in ["usage/2", "usage/1", "other"] {
        store
            .put(name, Bytes::from_static(b"segment"))
            .await
            .unwrap();
    }
    assert_eq!(store.get("usage/1").await.unwrap(), "segment");
    assert_eq!(store.list("usage/").await.unwrap(), ["usage/1", "usage/2"]);
    platform.stop().await.unwrap();
}

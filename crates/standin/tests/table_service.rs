//! The table service of the stand-in, called through the client.

use azurepath_services::table::{Check, Client, Error, Table, Transaction, Write};
use azurepath_standin::fault::{self, Injection};
use azurepath_standin::platform::Standin;
use serde_json::json;

fn put(key: &str, revision: u64, value: u64) -> Transaction {
    Transaction {
        checks: vec![Check {
            key: key.to_owned(),
            revision,
        }],
        writes: vec![Write {
            key: key.to_owned(),
            value: Some(json!(value)),
        }],
    }
}

fn table_faults(table: Injection) -> fault::Platform {
    fault::Platform {
        table: Some(table),
        ..fault::Platform::default()
    }
}

#[tokio::test]
async fn compare_and_set() {
    let platform = Standin::start().unwrap();
    let table = Client::new(platform.address());
    let first = table.transact(put("a", 0, 1)).await.unwrap();
    let second = table.transact(put("b", 0, 2)).await.unwrap();
    assert!(second.revision > first.revision);
    let conflict = table.transact(put("a", 0, 3)).await.unwrap_err();
    let expected = Error::Conflict {
        key: "a".to_owned(),
        revision: first.revision,
    };
    assert_eq!(conflict, expected);
    assert_eq!(table.read("a").await.unwrap().unwrap().value, json!(1));
    assert_eq!(table.read("none").await.unwrap(), None);
    platform.stop().await.unwrap();
}

#[tokio::test]
async fn pages_of_rows() {
    let platform = Standin::start().unwrap();
    let table = Client::new(platform.address());
    for name in ["x/1", "x/2", "x/3 &ü", "y/1"] {
        table.transact(put(name, 0, 0)).await.unwrap();
    }
    let page = table.scan("x/", None, 2).await.unwrap();
    assert_eq!(page.rows.len(), 2);
    let next = page.next.unwrap();
    let rest = table.scan("x/", Some(&next), 2).await.unwrap();
    assert_eq!(rest.rows[0].key, "x/3 &ü");
    assert_eq!((rest.rows.len(), rest.next), (1, None));
    platform.stop().await.unwrap();
}

#[tokio::test]
async fn lost_answers() {
    let platform = Standin::start().unwrap();
    let table = Client::new(platform.address());
    platform.set_faults(&table_faults(Injection {
        lose_answers: 1,
        ..Injection::default()
    }));
    let error = table.transact(put("a", 0, 7)).await.unwrap_err();
    assert!(matches!(error, Error::Unknown { .. }), "{error}");
    assert_eq!(table.read("a").await.unwrap().unwrap().value, json!(7));
    platform.stop().await.unwrap();
}

#[tokio::test]
async fn unavailable_table() {
    let platform = Standin::start().unwrap();
    let table = Client::new(platform.address());
    platform.set_faults(&table_faults(Injection {
        down: true,
        ..Injection::default()
    }));
    let error = table.transact(put("a", 0, 1)).await.unwrap_err();
    assert!(matches!(error, Error::Unavailable { .. }), "{error}");
    platform.set_faults(&table_faults(Injection::default()));
    assert_eq!(table.read("a").await.unwrap(), None);
    platform.stop().await.unwrap();
    let error = table.transact(put("a", 0, 1)).await.unwrap_err();
    assert!(matches!(error, Error::Unavailable { .. }), "{error}");
}

#[tokio::test]
async fn silent_connections() {
    let platform = Standin::start().unwrap();
    let table = Client::new(platform.address());
    table.transact(put("a", 0, 1)).await.unwrap();
    platform.set_faults(&table_faults(Injection {
        silence_open: 1,
        ..Injection::default()
    }));
    let error = table.transact(put("b", 0, 1)).await.unwrap_err();
    assert!(matches!(error, Error::Unknown { .. }), "{error}");
    table.transact(put("b", 0, 1)).await.unwrap();
    platform.stop().await.unwrap();
}

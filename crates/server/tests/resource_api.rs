//! The resource API of a server process.

mod support;

use std::time::Duration;

use anyhow::Result;
use azurepath_server::version::key;
use http::Method;
use http_body_util::BodyExt;
use serde_json::{Value, json};
use support::{Answer, Process, TestEnv, call, get};
use volo_http::body::Body;
use volo_http::client::ClientBuilder;

const OPERATOR: &str = "root.0123456789abcdef";

async fn start() -> Result<(TestEnv, Process)> {
    let env = TestEnv::start().await?;
    let server = server(&env, "s1").await?;
    server.ready().await?;
    Ok((env, server))
}

async fn server(env: &TestEnv, name: &str) -> Result<Process> {
    let timing = "[timing]\nlinger = 100ms\ninstances = 100ms\nheartbeat = 100ms\n";
    let more = format!("{timing}[operator]\nhash = {}\n", key::hash(OPERATOR));
    env.server_with(name, "zrh-a", "ch-north", &more).await
}

/// Calls the API as the first operator.
async fn api(server: &Process, method: Method, path: &str, body: &Value) -> Result<Answer> {
    api_if_match(server, method, path, body, None).await
}

async fn api_if_match(
    server: &Process,
    method: Method,
    path: &str,
    body: &Value,
    revision: Option<u64>,
) -> Result<Answer> {
    let bearer = format!("Bearer {OPERATOR}");
    let tag = revision.map(|revision| format!("\"{revision}\""));
    let mut headers = vec![("authorization", bearer.as_str())];
    if let Some(tag) = &tag {
        headers.push(("if-match", tag));
    }
    let body = if body.is_null() {
        String::new()
    } else {
        body.to_string()
    };
    call(server.http, method, path, &body, &headers).await
}

fn team(share: u32) -> Value {
    json!({"account": "barafu-pwani", "share": share, "limit": {"millicores": 8000, "slots": 8}})
}

#[tokio::test]
async fn create_replace_delete() -> Result<()> {
    let (_env, server) = start().await?;
    let path = "/v1/teams/dispatch";
    let created = api(&server, Method::PUT, path, &team(1)).await?;
    assert_eq!(created.status, 200, "{}", created.text());
    assert_eq!(created.json()["state"], "accepted");
    let revision = created.json()["revision"].as_u64().unwrap();
    let read = api(&server, Method::GET, path, &Value::Null).await?;
    assert_eq!(read.json()["resource"]["share"], 1);
    assert_eq!(read.header("etag"), Some(&*format!("\"{revision}\"")));

    let replaced = api_if_match(&server, Method::PUT, path, &team(2), Some(revision)).await?;
    assert_eq!(replaced.status, 200);
    let stale = api_if_match(&server, Method::PUT, path, &team(3), Some(revision)).await?;
    assert_eq!(stale.status, 409);
    assert_eq!(stale.json()["kind"], "stale");
    assert_eq!(stale.json()["current"], replaced.json()["revision"]);
    assert!(
        stale.json()["message"]
            .as_str()
            .unwrap()
            .contains("read it again")
    );

    let deleted = api(&server, Method::DELETE, path, &Value::Null).await?;
    assert_eq!(deleted.status, 200);
    let missing = api(&server, Method::GET, path, &Value::Null).await?;
    assert_eq!(missing.status, 404);
    Ok(())
}

#[tokio::test]
async fn all_faults_reported() -> Result<()> {
    let (_env, server) = start().await?;
    let document = json!({
        "class": "fast", "size": {"cores": 3}, "estimate_ms": -1, "open_to": "nobody", "colour": 1
    });
    let answer = api(&server, Method::PUT, "/v1/queues/q", &document).await?;
    assert_eq!(answer.status, 422);
    let body = answer.json();
    let faults = body["faults"].as_array().unwrap();
    let paths: Vec<&str> = faults
        .iter()
        .map(|fault| fault["path"].as_str().unwrap())
        .collect();
    assert_eq!(
        paths,
        [
            "colour",
            "open_to",
            "class",
            "size.cores",
            "size",
            "estimate_ms",
            "idempotent"
        ]
    );
    Ok(())
}

#[tokio::test]
async fn pages_and_selectors() -> Result<()> {
    let (_env, server) = start().await?;
    let first = api(&server, Method::GET, "/v1/queues?limit=3", &Value::Null)
        .await?
        .json();
    assert_eq!(first["items"].as_array().unwrap().len(), 3);
    let after = first["next"].as_str().unwrap();
    let path = format!("/v1/queues?limit=3&after={after}");
    let second = api(&server, Method::GET, &path, &Value::Null).await?.json();
    assert_eq!(second["items"].as_array().unwrap().len(), 2);
    assert_eq!(second["next"], Value::Null);
    let path = "/v1/queues?selector=class=urgent,idempotent=true";
    let chosen = api(&server, Method::GET, path, &Value::Null).await?.json();
    let items = chosen["items"].as_array().unwrap();
    let names: Vec<&str> = items
        .iter()
        .map(|i| i["resource"]["name"].as_str().unwrap())
        .collect();
    assert_eq!(names, ["open", "pairing"]);
    let racks = api(&server, Method::GET, "/v1/racks", &Value::Null)
        .await?
        .json();
    assert_eq!(racks["items"].as_array().unwrap().len(), 4);
    let workers = api(&server, Method::GET, "/v1/workers", &Value::Null)
        .await?
        .json();
    assert_eq!(workers["items"].as_array().unwrap().len(), 8);
    Ok(())
}

#[tokio::test]
async fn keys_shown_once() -> Result<()> {
    let (_env, server) = start().await?;
    let path = "/v1/keys/audit-2";
    let created = api(&server, Method::PUT, path, &json!({"team": "audit"}))
        .await?
        .json();
    let token = created["token"].as_str().unwrap().to_owned();
    let bearer = format!("Bearer {token}");
    let run = server
        .submit("pairing", "x", &[("authorization", &bearer)])
        .await?;
    assert_eq!(run.status, 200, "{}", run.text());
    let read = api(&server, Method::GET, path, &Value::Null).await?;
    assert!(!read.text().contains("hash") && !read.text().contains(&token));
    // A team's key has no operator rights.
    let refused = call(
        server.http,
        Method::GET,
        path,
        "",
        &[("authorization", &bearer)],
    )
    .await?;
    assert_eq!(refused.status, 403);
    assert_eq!(get(server.http, path).await?.status, 401);

    let withdrawn = json!({"team": "audit", "withdrawn": true});
    let answer = api(&server, Method::PUT, path, &withdrawn).await?.json();
    assert_eq!(
        (&answer["state"], &answer["token"]),
        (&json!("accepted"), &Value::Null)
    );
    let run = server
        .submit("pairing", "x", &[("authorization", &bearer)])
        .await?;
    assert_eq!(
        (run.status.as_u16(), run.json()["ran"].clone()),
        (401, json!("not_run"))
    );
    Ok(())
}

#[tokio::test]
async fn operators_key() -> Result<()> {
    let (_env, server) = start().await?;
    let created = api(&server, Method::PUT, "/v1/keys/second", &json!({}))
        .await?
        .json();
    let bearer = format!("Bearer {}", created["token"].as_str().unwrap());
    let headers = [("authorization", bearer.as_str())];
    let listed = call(server.http, Method::GET, "/v1/teams", "", &headers).await?;
    assert_eq!(listed.status, 200);
    let run = server.submit("pairing", "x", &headers).await?;
    assert_eq!(run.json()["kind"], "key_forbidden");
    Ok(())
}

/// Reads a watch until it has returned `count` changes.
async fn read_watch(server: &Process, path: &str, count: usize) -> Result<Vec<Value>> {
    let client = ClientBuilder::new().build()?;
    let response = client
        .get(format!("http://{}{path}", server.http))
        .header("authorization", format!("Bearer {OPERATOR}"))
        .body(Body::empty())
        .send()
        .await?;
    assert_eq!(response.status(), 200);
    let mut body = response.into_body();
    let (mut text, mut changes) = (String::new(), Vec::new());
    while changes.len() < count {
        let Some(frame) = body.frame().await else {
            break;
        };
        let data = frame
            .map_err(|error| anyhow::anyhow!("{error}"))?
            .into_data();
        text.push_str(&String::from_utf8(data.unwrap_or_default().to_vec())?);
        while let Some(end) = text.find('\n') {
            let line: Value = serde_json::from_str(&text[..end])?;
            text.drain(..=end);
            if line.get("name").is_some() {
                changes.push(line);
            }
        }
    }
    Ok(changes)
}

#[tokio::test]
async fn watch_resumes() -> Result<()> {
    let (_env, server) = start().await?;
    let listed = api(&server, Method::GET, "/v1/teams", &Value::Null)
        .await?
        .json();
    let mut from = listed["revision"].as_u64().unwrap();
    let mut seen = Vec::new();
    for round in 1..=3u32 {
        for share in [round * 10, round * 10 + 1] {
            api(&server, Method::PUT, "/v1/teams/dispatch", &team(share)).await?;
        }
        // The watch ends after two changes and resumes from the revision of the last one.
        let lines = read_watch(&server, &format!("/v1/teams?watch={from}"), 2).await?;
        from = lines[1]["revision"].as_u64().unwrap();
        seen.extend(
            lines
                .into_iter()
                .map(|line| line["resource"]["share"].clone()),
        );
    }
    assert_eq!(seen, [10, 11, 20, 21, 30, 31].map(|share| json!(share)));
    Ok(())
}

#[tokio::test]
async fn watch_sees_other_server() -> Result<()> {
    let (env, one) = start().await?;
    let two = server(&env, "s2").await?;
    two.ready().await?;
    let listed = api(&two, Method::GET, "/v1/teams", &Value::Null)
        .await?
        .json();
    let path = format!("/v1/resources?watch={}", listed["revision"]);
    let watch = async { read_watch(&two, &path, 1).await };
    let document = team(7);
    let change = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        api(&one, Method::PUT, "/v1/teams/dispatch", &document).await
    };
    let (lines, answer) = tokio::join!(watch, change);
    assert_eq!(answer?.json()["state"], "accepted");
    assert_eq!(lines?[0]["name"], "dispatch");
    let read = api(&two, Method::GET, "/v1/teams/dispatch", &Value::Null).await?;
    assert_eq!(
        read.json()["resource"]["share"],
        7,
        "an accepted change is in force on the other server"
    );
    Ok(())
}

#[tokio::test]
async fn dry_run() -> Result<()> {
    let (_env, server) = start().await?;
    let path = "/v1/teams/dispatch?dry_run=true";
    let answer = api(&server, Method::PUT, path, &team(1)).await?.json();
    assert_eq!(
        (&answer["state"], &answer["does"]),
        (&json!("dry_run"), &json!("create"))
    );
    let read = api(&server, Method::GET, "/v1/teams/dispatch", &Value::Null).await?;
    assert_eq!(read.status, 404);
    Ok(())
}

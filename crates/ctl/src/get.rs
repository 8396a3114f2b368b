//! The `get` and `describe` commands.

use serde_json::{Value, json};

use crate::cli;
use crate::client::{Call, call};
use crate::config::Config;
use crate::document;
use crate::exit::{Exit, Failure};
use crate::output::{self, Format};

/// Lists the resources of a kind, or shows one resource.
pub(crate) async fn run(config: &Config, options: &cli::Get) -> Result<Exit, Failure> {
    if let [kind] = options.target.as_slice()
        && !kind.contains('/')
    {
        return list(config, &document::collection(kind)?, options).await;
    }
    let (collection, name) = document::resource("get", &options.target)?;
    let item = fetch(config, &collection, &name).await?;
    print(config, &[item], None);
    Ok(Exit::Done)
}

/// Shows one resource with all its fields.
pub(crate) async fn describe(config: &Config, options: &cli::Describe) -> Result<Exit, Failure> {
    let (collection, name) = document::resource("describe", &options.target)?;
    let item = fetch(config, &collection, &name).await?;
    println!("{item:#}");
    Ok(Exit::Done)
}

async fn fetch(config: &Config, collection: &str, name: &str) -> Result<Value, Failure> {
    let reply = call(config, Call::get(format!("/v1/{collection}/{name}"))).await?;
    if !reply.status.is_success() {
        return Err(reply.failure());
    }
    Ok(reply.json())
}

async fn list(config: &Config, collection: &str, options: &cli::Get) -> Result<Exit, Failure> {
    let mut items = Vec::new();
    let mut after: Option<String> = None;
    let selector = options.selector.as_deref().unwrap_or_default();
    let revision = loop {
        let mut path = format!("/v1/{collection}?selector={selector}");
        if let Some(after) = &after {
            path.push_str(&format!("&after={after}"));
        }
        let reply = call(config, Call::get(path)).await?;
        if !reply.status.is_success() {
            return Err(reply.failure());
        }
        let page = reply.json();
        items.extend(page["items"].as_array().cloned().unwrap_or_default());
        after = page["next"].as_str().map(str::to_owned);
        if after.is_none() {
            break page["revision"].clone();
        }
    };
    print(config, &items, Some(revision));
    Ok(Exit::Done)
}

fn print(config: &Config, items: &[Value], revision: Option<Value>) {
    match (config.format, revision) {
        (Format::Table, _) => {
            let rows: Vec<Value> = items.iter().map(output::flatten).collect();
            print!("{}", output::table(&rows));
        }
        (Format::Json, Some(revision)) => {
            println!("{}", json!({"revision": revision, "items": items}));
        }
        (Format::Json, None) => items.iter().for_each(|item| println!("{item}")),
    }
}

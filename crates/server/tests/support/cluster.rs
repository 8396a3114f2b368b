//! Instances as separate processes, on stand-ins for the users' platform.

#![allow(dead_code, unreachable_pub, missing_docs)]

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use anyhow::{Context, Result};
use azurepath_standin::cluster::{Fleet, KEY, PATH_PREFIX};
use http::Method;
use serde_json::Value;

use super::{Answer, Process, call, get, until};

/// The stand-ins and the directory of the instances' settings files.
pub struct Cluster {
    pub fleet: Fleet,
    directory: PathBuf,
}

impl Cluster {
    pub fn start(workers: usize) -> Result<Cluster> {
        let fleet = Fleet::start(workers)?;
        let name = format!(
            "azurepath-cluster-{}-{}",
            std::process::id(),
            fleet.store.address().port()
        );
        let directory = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&directory)?;
        Ok(Cluster { fleet, directory })
    }

    pub fn settings(&self, name: &str) -> String {
        let direct = self.fleet.store.address();
        self.settings_via(name, direct, direct)
    }

    /// Returns the settings of an instance that reaches the store and the advice service at these
    /// addresses.
    fn settings_via(&self, name: &str, store: SocketAddr, advice: SocketAddr) -> String {
        format!(
            "[server]\nname = {name}\nregion = r\nfailure_domain = a\n\
             http = 127.0.0.1:0\npeers = 127.0.0.1:0\n\
             [cluster]\nready = 127.0.0.1:0\nmetrics = 127.0.0.1:0\nstore = {store}\n\
             advice = {advice}\nlease = 6000ms\ngrace = 6s\n"
        )
    }

    /// Writes the settings file of an instance, with more lines for its section `[cluster]`.
    pub fn write_settings(&self, name: &str, more: &str) -> Result<PathBuf> {
        let path = self.directory.join(format!("{name}.ini"));
        std::fs::write(&path, self.settings(name) + more)?;
        Ok(path)
    }

    /// Starts an instance and waits until it leads or knows the leader.
    pub async fn instance(&self, name: &str) -> Result<Process> {
        self.instance_with(name, "").await
    }

    /// Starts an instance with more lines in the section `[cluster]` of its settings.
    pub async fn instance_with(&self, name: &str, more: &str) -> Result<Process> {
        let path = self.write_settings(name, more)?;
        self.start_instance(&path).await
    }

    /// Starts an instance that reaches the store and the advice service at one other address, and
    /// waits until it leads or knows the leader.
    pub async fn instance_via(&self, name: &str, store: SocketAddr, more: &str) -> Result<Process> {
        let path = self.directory.join(format!("{name}.ini"));
        std::fs::write(&path, self.settings_via(name, store, store) + more)?;
        self.start_instance(&path).await
    }

    async fn start_instance(&self, path: &Path) -> Result<Process> {
        let process = Process::start(path).await?;
        until(async || {
            process.logged("leading").is_some()
                || process.logged("another instance leads").is_some()
        })
        .await;
        Ok(process)
    }

    /// Starts an instance that reaches the store and the advice service at other addresses.
    pub async fn instance_through(
        &self,
        name: &str,
        store: SocketAddr,
        advice: SocketAddr,
    ) -> Result<Process> {
        let path = self.directory.join(format!("{name}.ini"));
        std::fs::write(&path, self.settings_via(name, store, advice))?;
        Process::start(&path).await
    }

    /// Waits until every instance reports all jobs as completed.
    pub async fn wait_until_completed(&self, instances: &[&Process], ids: &[String]) {
        for id in ids {
            for instance in instances {
                until(async || state(instance.http, id).await.as_deref() == Some("completed"))
                    .await;
            }
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        // A directory that is left behind does not affect later tests.
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// Returns the epoch under which an instance leads, as far as it knows.
pub fn leading_epoch(process: &Process) -> Option<u64> {
    let events = process.log();
    let last = events.iter().rfind(|event| {
        let message = event["msg"].as_str().unwrap_or_default();
        ["leading", "leading no more"].contains(&message)
    })?;
    (last["msg"] == "leading").then(|| last["epoch"].as_u64())?
}

/// Returns the index of the leading instance.
pub fn leader(instances: &[Process]) -> usize {
    let leads = |process: &Process| leading_epoch(process).is_some();
    instances.iter().position(leads).unwrap_or_default()
}

/// Returns an address that a process has logged at its start.
pub fn address(process: &Process, key: &str) -> Result<SocketAddr> {
    let event = process
        .logged("listening")
        .context("the process does not listen")?;
    Ok(event[key].as_str().unwrap_or_default().parse()?)
}

pub fn id(number: u64) -> String {
    format!("{:016x}", 0x5c0e_0000_0000_0000_u64 + number)
}

/// Returns the body of a job of `count` tasks that run for `millis` milliseconds each.
pub fn job_body(count: u32, millis: u64, gang: bool) -> String {
    serde_json::json!({
        "spec": millis.to_string(),
        "phases": [{"count": count, "cpu": 500, "memMb": 256, "estMs": millis, "gang": gang}],
    })
    .to_string()
}

pub async fn submit(at: SocketAddr, id: &str, body: &str) -> Result<Answer> {
    let path = format!("{PATH_PREFIX}{id}");
    call(at, Method::POST, &path, body, &[("credential", KEY)]).await
}

/// Submits a job until an instance accepts it, as the platform's clients do.
pub async fn submit_until(instances: &[&Process], id: &str, body: &str) {
    let mut number = 0;
    until(async || {
        number += 1;
        let at = instances[number % instances.len()].http;
        submit(at, id, body)
            .await
            .is_ok_and(|answer| answer.status == 200)
    })
    .await;
}

pub async fn cancel(at: SocketAddr, id: &str) -> Result<Answer> {
    let path = format!("{PATH_PREFIX}{id}");
    call(at, Method::DELETE, &path, "", &[("credential", KEY)]).await
}

pub async fn state(at: SocketAddr, id: &str) -> Option<String> {
    let path = format!("{PATH_PREFIX}{id}");
    let answer = call(at, Method::GET, &path, "", &[("credential", KEY)])
        .await
        .ok()?;
    let body: Value = answer.json();
    (answer.status == 200).then(|| body["state"].as_str().unwrap_or_default().to_owned())
}

pub async fn status(at: SocketAddr, path: &str) -> Option<u16> {
    Some(get(at, path).await.ok()?.status.as_u16())
}

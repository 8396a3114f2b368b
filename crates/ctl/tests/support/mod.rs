//! Runs the command line against a server and stand-ins for the platform and workers.

#![allow(dead_code, unreachable_pub, missing_docs)]

use std::path::PathBuf;
use std::process::Stdio;

use anyhow::{Context, Result};
use azurepath_server::Server;
use azurepath_server::settings::Settings;
use azurepath_server::version::key;
use azurepath_standin::fleet::{Fleet, Rack};
use tokio::io::AsyncWriteExt;
use tokio::process::{Child, Command};

/// The key of the first operator.
pub const OPERATOR: &str = "root.0123456789abcdef";

/// A server, stand-ins and a temporary directory.
pub struct TestEnv {
    pub fleet: Fleet,
    server: Option<Server>,
    address: String,
    directory: PathBuf,
}

/// The result of a run of the command line.
#[derive(Debug)]
pub struct Run {
    pub code: i32,
    pub out: String,
    pub err: String,
}

impl TestEnv {
    /// Starts the stand-ins and a server.
    pub async fn start() -> Result<TestEnv> {
        let fleet = Fleet::start(&[Rack::new("zrh-a-r1", "zrh-a", "ch-north")])?;
        let platform = fleet.address();
        let text = format!(
            "[server]\nname = s1\nregion = ch-north\nfailure_domain = zrh-a\n\
             http = 127.0.0.1:0\npeers = 127.0.0.1:0\n\
             [platform]\ntable = {platform}\nobjects = {platform}\ninstances = {platform}\n\
             [timing]\nlinger = 10ms\ninstances = 100ms\nheartbeat = 100ms\n\
             [operator]\nhash = {}\n",
            key::hash(OPERATOR)
        );
        let server = Server::start(Settings::parse("test.ini", &text)?).await?;
        let address = server.addresses().http.to_string();
        let name = format!("azurectl-test-{}-{}", std::process::id(), platform.port());
        let directory = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&directory)?;
        let env = TestEnv {
            fleet,
            server: Some(server),
            address,
            directory,
        };
        env.wait_until_ready().await?;
        Ok(env)
    }

    async fn wait_until_ready(&self) -> Result<()> {
        loop {
            let dump = self.run(&["dump"]).await?.out;
            if dump.contains("\"Current") && dump.contains("\"zrh-a-r1\"") {
                return Ok(());
            }
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
    }

    /// Writes a file and returns its path.
    pub fn file(&self, name: &str, text: &str) -> Result<String> {
        let path = self.directory.join(name);
        std::fs::write(&path, text)?;
        Ok(path.display().to_string())
    }

    /// Starts the command line.
    pub fn spawn(&self, arguments: &[&str], key: &str) -> Result<Child> {
        let child = Command::new(env!("CARGO_BIN_EXE_azurectl"))
            .args(["--server", &self.address])
            .args(arguments)
            .env("AZUREPATH_KEY", key)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()?;
        Ok(child)
    }

    /// Runs the command line as the first operator.
    pub async fn run(&self, arguments: &[&str]) -> Result<Run> {
        self.run_with(arguments, OPERATOR, "").await
    }

    /// Runs the command line with a key and an input.
    pub async fn run_with(&self, arguments: &[&str], key: &str, input: &str) -> Result<Run> {
        let mut child = self.spawn(arguments, key)?;
        let mut stdin = child
            .stdin
            .take()
            .context("the command has no standard input")?;
        // The write fails if the command ended without reading its input.
        let _ = stdin.write_all(input.as_bytes()).await;
        drop(stdin);
        finish(child).await
    }

    /// Stops the server.
    pub async fn stop_server(&mut self) -> Result<()> {
        match self.server.take() {
            Some(server) => server.stop().await,
            None => Ok(()),
        }
    }

    /// Stops the server and the stand-ins.
    pub async fn stop(mut self) -> Result<()> {
        self.stop_server().await?;
        let _ = std::fs::remove_dir_all(&self.directory);
        self.fleet.stop().await
    }
}

/// Waits for the command to end and returns its result.
pub async fn finish(child: Child) -> Result<Run> {
    let output = child.wait_with_output().await?;
    Ok(Run {
        code: output.status.code().unwrap_or(-1),
        out: String::from_utf8(output.stdout)?,
        err: String::from_utf8(output.stderr)?,
    })
}

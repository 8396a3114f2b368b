//! The `azurepath` server.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use azurepath_server::cli::{self, Command};
use azurepath_server::logs;
use azurepath_server::process::stop;
use azurepath_server::settings::{Error, Settings, cluster};
use tokio::runtime::Builder;

/// The mode of the process, which its settings select.
enum Mode {
    /// A server that keeps its state in the table service.
    Single(Box<Settings>),
    /// An instance on the users' platform.
    Cluster(Box<cluster::Settings>, PathBuf),
}

impl Mode {
    fn load(path: &Path) -> Result<Mode, Error> {
        match cluster::Settings::load(path)? {
            Some(settings) => Ok(Mode::Cluster(Box::new(settings), path.to_owned())),
            None => Settings::load(path).map(|settings| Mode::Single(Box::new(settings))),
        }
    }
}

fn main() -> ExitCode {
    let command = match cli::parse(std::env::args().skip(1)) {
        Ok(command) => command,
        Err(error) => return usage(&error),
    };
    match command {
        Command::Print(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Command::Check(path) => match Mode::load(&path) {
            Ok(_) => {
                println!("{}: the settings are valid", path.display());
                ExitCode::SUCCESS
            }
            Err(error) => usage(&error),
        },
        Command::Run(path) => match Mode::load(&path) {
            Ok(mode) => serve(mode),
            Err(error) => usage(&error),
        },
    }
}

/// Prints an error of the command line or the settings.
fn usage(error: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("azurepath: {error}");
    ExitCode::from(cli::USAGE_EXIT_CODE)
}

fn serve(mode: Mode) -> ExitCode {
    let mut builder = match &mode {
        Mode::Single(_) => Builder::new_multi_thread(),
        // Instances on the platform have one core, so more threads would not help.
        Mode::Cluster(..) => Builder::new_current_thread(),
    };
    let runtime = match builder.enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("azurepath: the runtime could not start: {error}");
            return ExitCode::FAILURE;
        }
    };
    let outcome = runtime.block_on(async {
        let stop = stop::signal()?;
        let hangups = stop::hangups()?;
        match mode {
            Mode::Single(settings) => {
                // These settings are read at the start only; the signal must not end the process.
                let _hangups = hangups;
                azurepath_server::run(*settings, stop).await
            }
            Mode::Cluster(settings, path) => {
                let source = cluster::Source { path, hangups };
                azurepath_server::cluster::run(*settings, source, stop).await
            }
        }
    });
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            logs::fatal(&error);
            ExitCode::FAILURE
        }
    }
}

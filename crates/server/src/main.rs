//! The `azurepath` server.

use std::process::ExitCode;

use azurepath_server::cli::{self, Command};
use azurepath_server::{logs, settings::Settings};

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
        Command::Check(path) => match Settings::load(&path) {
            Ok(_) => {
                println!("{}: the settings are valid", path.display());
                ExitCode::SUCCESS
            }
            Err(error) => usage(&error),
        },
        Command::Run(path) => match Settings::load(&path) {
            Ok(settings) => serve(settings),
            Err(error) => usage(&error),
        },
    }
}

fn usage(error: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("azurepath: {error}");
    ExitCode::from(cli::USAGE)
}

fn serve(settings: Settings) -> ExitCode {
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("azurepath: the runtime could not start: {error}");
            return ExitCode::FAILURE;
        }
    };
    let outcome = runtime.block_on(async {
        let stop = azurepath_server::process::stop::signal()?;
        azurepath_server::run(settings, stop).await
    });
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            logs::fatal(&error);
            ExitCode::FAILURE
        }
    }
}

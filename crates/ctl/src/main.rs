//! The command-line tool for operators of azurepath.

mod apply;
mod cli;
mod client;
mod config;
mod day;
mod delete;
mod document;
mod drain;
mod dump;
mod exit;
mod get;
mod output;
mod replay;
mod submit;
mod usage;
mod watch;

use std::process::ExitCode;

use cli::{Command, Options};
use config::Config;
use exit::{Exit, Failure};

fn main() -> ExitCode {
    let options = match cli::parse(std::env::args().skip(1)) {
        Ok(cli::Parsed::Options(options)) => options,
        Ok(cli::Parsed::Print(text)) => {
            println!("{text}");
            return ExitCode::SUCCESS;
        }
        Err(failure) => return failure.report(),
    };
    match run(options) {
        Ok(exit) => ExitCode::from(exit),
        Err(failure) => failure.report(),
    }
}

fn run(options: Options) -> Result<Exit, Failure> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| {
            Failure::new(
                Exit::Failed,
                format!("the runtime could not be started: {error}"),
            )
        })?;
    if let Some(Command::Replay(options)) = &options.command {
        return replay::run(options);
    }
    if let Some(Command::Usage(usage)) = &options.command {
        return runtime.block_on(usage::run(options.output, usage));
    }
    let config = Config::new(&options)?;
    runtime.block_on(async {
        match options.command {
            Some(Command::Apply(options)) => apply::run(&config, &options).await,
            Some(Command::Get(options)) => get::run(&config, &options).await,
            Some(Command::Describe(options)) => get::describe(&config, &options).await,
            Some(Command::Watch(options)) => watch::run(&config, &options).await,
            Some(Command::Delete(options)) => delete::run(&config, &options).await,
            Some(Command::Drain(options)) => drain::run(&config, &options).await,
            Some(Command::Dump(_)) => dump::run(&config).await,
            Some(Command::Submit(options)) => submit::run(&config, &options).await,
            Some(Command::Usage(options)) => usage::run(config.format, &options).await,
            Some(Command::Replay(options)) => replay::run(&options),
            None => Err(Failure::usage("no command specified; try azurectl --help")),
        }
    })
}

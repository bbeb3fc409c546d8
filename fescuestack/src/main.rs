//! The `fescuestack` command.

mod baseline;
mod cli;
mod controller;
mod fleet;
mod logging;
mod measure;
mod node;
mod settings;
mod signals;
mod usage;

use std::process::ExitCode;

use clap::Parser;

fn main() -> ExitCode {
    cli::CommandLine::parse().run()
}

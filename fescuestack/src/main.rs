//! The `fescuestack` command.

mod baseline;
mod cli;
mod controller;
mod logging;
mod node;
mod settings;
mod signals;

use std::process::ExitCode;

use clap::Parser;

fn main() -> ExitCode {
    cli::CommandLine::parse().run()
}

//! The `fescuestack` command.

mod baseline;
mod cli;
mod controller;
mod demo;
mod fleet;
mod logging;
mod measure;
mod measure_calls;
mod node;
mod observer;
mod output;
mod settings;
mod signals;
mod standin;
mod usage;

use std::process::ExitCode;

use clap::Parser;

fn main() -> ExitCode {
    cli::CommandLine::parse().run()
}

//! The `fescuestack` command.

fn main() {}

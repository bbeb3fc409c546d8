//! Standard output of commands.

use std::fmt::Arguments;
use std::io::{ErrorKind, Write};
use std::process;

/// Exit code if standard output cannot be written to.
const OUTPUT_FAILED: i32 = 1;

/// Writes a line to standard output, as `println!` does. If nobody reads the output any more, the
/// process ends successfully, where `println!` would panic.
macro_rules! print_line {
    ($($argument:tt)*) => {
        $crate::output::write_output(format_args!("{}\n", format_args!($($argument)*)))
    };
}

pub(crate) use print_line;

/// Writes text to standard output. Ends the process if that fails.
pub(crate) fn write_output(text: Arguments<'_>) {
    let mut output = std::io::stdout().lock();
    match output.write_fmt(text).and_then(|()| output.flush()) {
        Ok(()) => (),
        Err(err) if err.kind() == ErrorKind::BrokenPipe => process::exit(0),
        Err(err) => {
            eprintln!("cannot write to standard output: {err}");
            process::exit(OUTPUT_FAILED);
        }
    }
}

//! The record of a case: lines with the time since its start.

use std::fs::File;
use std::io::Write;
use std::sync::{Mutex, OnceLock};
use std::time::{Duration, Instant};

static RECORD: OnceLock<(Instant, Mutex<File>)> = OnceLock::new();

/// Creates the record file.
pub fn open(path: &str) {
    match File::create(path) {
        Ok(file) => {
            let _ = RECORD.set((Instant::now(), Mutex::new(file)));
        }
        Err(err) => {
            eprintln!("cannot create {path}: {err}");
            std::process::exit(2);
        }
    }
}

/// Returns the time since the start of the case.
pub fn now() -> Duration {
    RECORD.get().map_or(Duration::ZERO, |(started, _)| started.elapsed())
}

/// Writes a line.
pub fn line(text: &str) {
    let Some((started, file)) = RECORD.get() else { return };
    let line = format!("{:8.3} {text}", started.elapsed().as_secs_f64());
    println!("{line}");
    if let Ok(mut file) = file.lock() {
        let _ = writeln!(file, "{line}");
    }
}

//! Structured logging in JSON Lines format.
//!
//! A separate thread writes the lines, which it receives over a bounded channel, so that a blocked
//! output stream never delays a call. Lines are dropped when the channel is full or the rate limit is
//! exceeded. The number of dropped lines is logged with the next line.

use std::io::Write;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, Instant};

use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, FlexiLoggerError, Logger, LoggerHandle};
use log::kv::{Error, Key, Value, VisitSource};
use serde_json::{Map, json};

/// Capacity of the channel to the writer thread, in lines.
const MAX_QUEUED_LINES: usize = 4_096;

/// Rate limit for lines below warning level. Warnings and errors are not limited.
const MAX_LINES_PER_SECOND: u64 = 400;

/// Output stream of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LogStream {
    /// Standard output, for long-running commands.
    Output,
    /// Standard error, for commands that print a result to standard output.
    Errors,
}

/// Starts logging at `level`. The caller keeps the handle until the process ends. Fails for an unknown
/// level and when a logger is already installed.
pub(crate) fn start_logging(
    level: &str,
    stream: LogStream,
) -> Result<LoggerHandle, FlexiLoggerError> {
    // Limits the HTTP and asynchronous I/O libraries to warnings. The HTTP/2 libraries used by tonic
    // log every frame at debug level.
    let specification = format!(
        "{level}, h2=warn, hyper=warn, tower=warn, async_io=warn, polling=warn, async_std=warn"
    );
    let writer = Box::new(JsonLogWriter::new(stream, MAX_LINES_PER_SECOND));
    Logger::try_with_str(specification)?.log_to_writer(writer).start()
}

/// Maximum time to wait for queued lines to be written when the process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(250);

/// Message to the writer thread.
enum LogMessage {
    Line(String),
    /// Requests a reply once all earlier lines have been written.
    Flush(SyncSender<()>),
}

/// Formats log records and queues them for the writer thread.
struct JsonLogWriter {
    lines: SyncSender<LogMessage>,
    window: Mutex<RateWindow>,
    limit: u64,
    dropped: AtomicU64,
}

struct RateWindow {
    started: Instant,
    lines: u64,
}

impl JsonLogWriter {
    fn new(stream: LogStream, limit: u64) -> JsonLogWriter {
        let (lines, receiver) = sync_channel(MAX_QUEUED_LINES);
        let thread = std::thread::Builder::new().name("log".to_owned());
        if let Err(err) = thread.spawn(move || write_queued_lines(stream, &receiver)) {
            eprintln!("cannot start the log thread: {err}");
        }
        let window = Mutex::new(RateWindow { started: Instant::now(), lines: 0 });
        JsonLogWriter { lines, window, limit, dropped: AtomicU64::new(0) }
    }

    /// Counts a line and returns whether it is within the rate limit.
    fn fits_rate(&self, level: log::Level) -> bool {
        let Ok(mut window) = self.window.lock() else { return true };
        if window.started.elapsed().as_secs() >= 1 {
            *window = RateWindow { started: Instant::now(), lines: 0 };
        }
        window.lines += 1;
        level <= log::Level::Warn || window.lines <= self.limit
    }

    fn send(&self, line: String) {
        if self.lines.try_send(LogMessage::Line(line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl LogWriter for JsonLogWriter {
    fn write(&self, now: &mut DeferredNow, record: &log::Record<'_>) -> std::io::Result<()> {
        if !self.fits_rate(record.level()) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        let time = now.format("%Y-%m-%dT%H:%M:%S%.3fZ").to_string();
        if dropped > 0 {
            let text = "log lines dropped";
            self.send(
                json!({"time": time, "level": "WARN", "text": text, "count": dropped}).to_string(),
            );
        }
        self.send(format_line(&time, record));
        Ok(())
    }

    fn flush(&self) -> std::io::Result<()> {
        let (flushed, receiver) = sync_channel(1);
        if self.lines.try_send(LogMessage::Flush(flushed)).is_ok() {
            // A blocked output stream must not prevent the process from exiting.
            let _ = receiver.recv_timeout(FLUSH_TIMEOUT);
        }
        Ok(())
    }
}

/// Formats a record as a JSON object with its key-value pairs as fields.
fn format_line(time: &str, record: &log::Record<'_>) -> String {
    let mut fields = Map::new();
    fields.insert("time".to_owned(), time.into());
    fields.insert("level".to_owned(), record.level().as_str().into());
    fields.insert("module".to_owned(), record.target().into());
    fields.insert("text".to_owned(), record.args().to_string().into());
    // `FieldVisitor` never returns an error.
    let _ = record.key_values().visit(&mut FieldVisitor(&mut fields));
    serde_json::Value::Object(fields).to_string()
}

struct FieldVisitor<'a>(&'a mut Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for FieldVisitor<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let field = match (value.to_u64(), value.to_f64(), value.to_bool()) {
            (Some(number), _, _) => number.into(),
            (_, _, Some(flag)) => flag.into(),
            (_, Some(number), _) => number.into(),
            _ => value.to_string().into(),
        };
        self.0.insert(key.as_str().to_owned(), field);
        Ok(())
    }
}

fn write_queued_lines(stream: LogStream, messages: &Receiver<LogMessage>) {
    while let Ok(message) = messages.recv() {
        let mut line = match message {
            LogMessage::Line(line) => line,
            LogMessage::Flush(flushed) => {
                // Fails only if the flush has already timed out.
                let _ = flushed.try_send(());
                continue;
            }
        };
        line.push('\n');
        let result = match stream {
            LogStream::Output => std::io::stdout().lock().write_all(line.as_bytes()),
            LogStream::Errors => std::io::stderr().lock().write_all(line.as_bytes()),
        };
        if result.is_err() {
            return;
        }
    }
}

//! Writes log lines as JSON. Logging never blocks: lines are dropped and counted when the output is too slow.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use slog::{Drain, FnValue, Logger, Never, OwnedKVList, PushFnValue, Record, o};

use crate::clock;
use crate::settings::BoxSettings;

/// Maximum number of lines that wait to be written; further lines are dropped.
const LINE_QUEUE_LENGTH: usize = 8_192;

/// Size of the line buffer in bytes. A longer line is written in several pieces.
const LINE_BUFFER_BYTES: usize = 16 << 10;

/// A logger, with the count of its dropped lines.
#[derive(Debug, Clone)]
pub struct LogSink {
    /// The logger.
    pub logger: Logger,
    dropped: Arc<AtomicU64>,
}

impl LogSink {
    /// Returns the number of lines dropped since the start of the process.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

/// Passes lines to the writer thread, and counts those that do not fit into its queue.
struct CountingDrain {
    core: slog_async::AsyncCore,
    dropped: Arc<AtomicU64>,
}

impl Drain for CountingDrain {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        if self.core.log(record, values).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }
}

/// Builds the logger of a box, which writes to standard error.
pub fn build_logger(settings: &BoxSettings) -> LogSink {
    build_sink(&settings.id.to_string(), std::io::stderr())
}

/// Builds the logger of a box in cell mode, which writes to standard output.
pub fn build_stdout_logger(name: &str) -> LogSink {
    build_sink(name, std::io::stdout())
}

fn build_sink(name: &str, sink: impl std::io::Write + Send + 'static) -> LogSink {
    // The serializer emits a line in many small writes, so these are buffered.
    let sink = std::io::LineWriter::with_capacity(LINE_BUFFER_BYTES, sink);
    // The default time stamp of slog-json looks up the time zone for each line, so it is not used.
    let lines = slog_json::Json::new(sink)
        .add_key_value(o!(
            "ts" => FnValue(|_| clock::unix_ms()),
            "level" => FnValue(|record| record.level().as_short_str()),
            "msg" => PushFnValue(|record, serializer| serializer.emit(record.msg())),
        ))
        .build()
        .ignore_res();
    let core =
        slog_async::AsyncCore::custom(lines).chan_size(LINE_QUEUE_LENGTH).blocking(false).build();
    let dropped = Arc::new(AtomicU64::new(0));
    let drain = CountingDrain { core, dropped: dropped.clone() };
    let logger = Logger::root(drain, o!("box" => name.to_owned()));
    LogSink { logger, dropped }
}

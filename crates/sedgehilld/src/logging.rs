//! Log lines as JSON, never holding up whoever logs.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use slog::{Drain, FnValue, Logger, Never, OwnedKVList, PushFnValue, Record, o};

use crate::clock;
use crate::settings::BoxSettings;

/// Lines that wait for the sink before further ones are dropped.
const LINE_QUEUE: usize = 8_192;

/// The longest line that is written at once, in bytes.
const LINE_BYTES: usize = 16 << 10;

/// A logger, and the count of lines that its sink was too slow for.
#[derive(Debug, Clone)]
pub struct LogSink {
    /// Where to log.
    pub logger: Logger,
    dropped: Arc<AtomicU64>,
}

impl LogSink {
    /// Lines dropped since the start.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

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
    // A line is written in many small pieces.
    let sink = std::io::LineWriter::with_capacity(LINE_BYTES, sink);
    // The library's own time stamp looks up the time zone for each line.
    let lines = slog_json::Json::new(sink)
        .add_key_value(o!(
            "ts" => FnValue(|_| clock::unix_ms()),
            "level" => FnValue(|record| record.level().as_short_str()),
            "msg" => PushFnValue(|record, serializer| serializer.emit(record.msg())),
        ))
        .build()
        .ignore_res();
    let core = slog_async::AsyncCore::custom(lines).chan_size(LINE_QUEUE).blocking(false).build();
    let dropped = Arc::new(AtomicU64::new(0));
    let drain = CountingDrain { core, dropped: dropped.clone() };
    let logger = Logger::root(drain, o!("box" => name.to_owned()));
    LogSink { logger, dropped }
}

//! Sets up structured logging to standard error, or to standard output by a thread of its own.

use tracing_appender::non_blocking::ErrorCounter;
use tracing_appender::non_blocking::NonBlockingBuilder;
use tracing_appender::non_blocking::WorkerGuard;
use tracing_subscriber::EnvFilter;

use crate::settings::SettingValue;

/// Format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// Readable text.
    Text,
    /// One JSON object per line.
    Json,
}

impl SettingValue for LogFormat {
    const EXPECTED: &'static str = "`text` or `json`";

    fn from_setting(text: &str) -> Option<Self> {
        match text {
            "text" => Some(LogFormat::Text),
            "json" => Some(LogFormat::Json),
            _ => None,
        }
    }

    fn to_setting(&self) -> String {
        match self {
            LogFormat::Text => "text".to_owned(),
            LogFormat::Json => "json".to_owned(),
        }
    }
}

/// Starts logging to standard error. `filter` is a level or a list of `target=level`. An invalid
/// filter is replaced by `info`. Later calls in the same process change nothing.
pub fn start_logging(format: LogFormat, filter: &str) {
    // actix-http logs an error for every stream that is cut off on purpose.
    let filter = format!("{filter},actix_http::h1::dispatcher=off");
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    // A process that starts logging again, as in tests, keeps the first subscriber.
    let _already_started = match format {
        LogFormat::Text => builder.try_init(),
        LogFormat::Json => builder.json().try_init(),
    };
}

/// Lines that may wait to be written to standard output. Further ones are dropped and counted.
const MAX_QUEUED_LINES: usize = 4_096;

/// Handle of the logs on standard output. It keeps their writer alive and counts dropped lines.
pub struct StdoutLog {
    /// Writes the queued lines when dropped.
    _writer: WorkerGuard,
    dropped: ErrorCounter,
}

impl StdoutLog {
    /// Returns the number of lines dropped so far because standard output was not read fast enough.
    pub fn dropped_lines(&self) -> usize {
        self.dropped.dropped_lines()
    }
}

/// Starts logging JSON lines to standard output. A thread of its own writes them, so that no other
/// thread ever waits for the reader of the output.
pub fn start_stdout_logging(filter: &str) -> StdoutLog {
    let filter = format!("{filter},actix_http::h1::dispatcher=off");
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(MAX_QUEUED_LINES);
    let (writer, guard) = builder.finish(std::io::stdout());
    let dropped = writer.error_counter();
    let subscriber = tracing_subscriber::fmt().with_env_filter(filter).with_writer(writer);
    // A process that starts logging again, as in tests, keeps the first subscriber.
    let _already_started = subscriber.json().flatten_event(true).with_target(false).try_init();
    StdoutLog { _writer: guard, dropped }
}

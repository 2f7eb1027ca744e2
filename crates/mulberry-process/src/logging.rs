//! Sets up structured logs on standard error, or on standard output without ever blocking.

use tracing_appender::non_blocking::ErrorCounter;
use tracing_appender::non_blocking::NonBlockingBuilder;
use tracing_appender::non_blocking::WorkerGuard;
use tracing_subscriber::EnvFilter;

use crate::settings::SettingValue;

/// The form of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// Lines for people.
    Text,
    /// One JSON object a line.
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

/// Starts logging. `filter` is a level or a list of `target=level`. Later calls change nothing.
pub fn start_logging(format: LogFormat, filter: &str) {
    // The HTTP library reports every stream that is cut on purpose as an error of its own.
    let filter = format!("{filter},actix_http::h1::dispatcher=off");
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    // A second start in one process, as in tests, keeps the first.
    let _already_started = match format {
        LogFormat::Text => builder.try_init(),
        LogFormat::Json => builder.json().try_init(),
    };
}

/// Lines that may wait to be written; further ones are dropped and counted.
const MAX_WAITING_LINES: usize = 4_096;

/// Keeps the writer of the logs alive and counts the lines that it dropped.
pub struct StdoutLog {
    /// Writes what is left when dropped.
    _writer: WorkerGuard,
    dropped: ErrorCounter,
}

impl StdoutLog {
    /// Returns the lines dropped so far because the output was not read.
    pub fn dropped_lines(&self) -> usize {
        self.dropped.dropped_lines()
    }
}

/// Starts logging JSON lines to standard output by a thread of its own, so that nothing ever waits
/// for the output.
pub fn start_stdout_logging(filter: &str) -> StdoutLog {
    let filter = format!("{filter},actix_http::h1::dispatcher=off");
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(MAX_WAITING_LINES);
    let (writer, guard) = builder.finish(std::io::stdout());
    let dropped = writer.error_counter();
    let subscriber = tracing_subscriber::fmt().with_env_filter(filter).with_writer(writer);
    // A second start in one process, as in tests, keeps the first.
    let _already_started = subscriber.json().flatten_event(true).with_target(false).try_init();
    StdoutLog { _writer: guard, dropped }
}

//! Checks of the source tree that the formatter and the linter don't make.

mod catalogue;
mod imports;
mod platform_words;
mod sources;

pub use catalogue::check_events;
pub use catalogue::check_metrics;
pub use imports::check_imports;
pub use platform_words::check_platform_words;
pub use sources::TidyError;
pub use sources::TidyProblem;
pub use sources::read_sources;
pub use sources::read_text;
pub use sources::workspace_root;

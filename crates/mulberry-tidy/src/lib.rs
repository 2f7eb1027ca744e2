//! Checks of the source tree that rustfmt and Clippy don't make: imports, names of the users'
//! platform, and the catalogues in the docs.

mod catalogue;
mod imports;
mod platform_words;
mod sources;

pub use catalogue::check_events;
pub use catalogue::check_metrics;
pub use imports::check_imports;
pub use platform_words::check_platform_words;
pub use sources::TidyError;
pub use sources::TidyViolation;
pub use sources::read_sources;
pub use sources::read_text;
pub use sources::workspace_root;

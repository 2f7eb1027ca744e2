//! The platform's object API: versions, conditional writes, watches, rate limits and faults.

mod api;
mod host;

pub use api::start_object_api;
pub use host::CallCounts;
pub use host::ObjectApiFaults;
pub use host::SharedObjectApi;

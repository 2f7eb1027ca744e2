//! Stand-in for the platform's object API, with versions, conditional writes, watches, rate limits
//! and injected faults.

mod api;
mod state;

pub use api::start_object_api;
pub use state::CallCounts;
pub use state::ObjectApiFaults;
pub use state::SharedObjectApi;

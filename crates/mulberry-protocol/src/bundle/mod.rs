//! Serving bundles: the models and services of a deployment, the urgency of their requests, and the
//! accounts that may use them.

mod check;
mod delta;
mod document;
mod model;
mod record;

pub use check::BundleError;
pub use check::BundleErrors;
pub use check::parse_bundle;
pub use delta::BundleDelta;
pub use delta::apply_delta;
pub use delta::make_delta;
pub use model::BatchFill;
pub use model::Bundle;
pub use model::BundleBuilder;
pub use model::Client;
pub use model::Model;
pub use model::Operator;
pub use model::Right;
pub use model::Route;
pub use model::Service;
pub use model::ServiceKind;
pub use record::BundleContent;
pub use record::InForceRecord;
pub use record::RollRecord;
pub use record::SignOff;

//! Commands that check, submit, sign off, roll and show bundles.

pub mod check;
pub mod diff;
pub mod history;
pub mod roll;
pub mod sign_off;
pub mod status;
pub mod submit;

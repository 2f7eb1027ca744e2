//! Parts that every process of the system uses: settings, logging, metrics, clocks and stop
//! signals.

pub mod clock;
pub mod logging;
pub mod metrics;
pub mod settings;
pub mod stop;

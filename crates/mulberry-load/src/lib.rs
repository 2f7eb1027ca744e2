//! Experiments on loopback against stand-ins: capacity, faults, policies, overload and added latency.

mod capacity;
pub mod command;
mod error;
mod faults;
mod overload;
mod path;
mod policy;
mod stats;
mod table;
mod threads;

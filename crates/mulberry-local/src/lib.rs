//! Runs the whole system in one process on a laptop, as a demonstration or as a server to try out.

pub mod command;
mod demo;
mod error;
mod online;
mod report;
mod serve;

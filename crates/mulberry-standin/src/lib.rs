//! Stand-ins: small models of the outside systems that mulberryshed works with, for tests and
//! trials. There are stand-ins for engines, plain services, the platform's object API and its list
//! of VMs.
//!
//! Each records by itself what it did, so that tests and trials can compare that record with what
//! callers saw.

pub mod command;
pub mod engine;
pub mod object_api;
pub mod server;
pub mod service;
pub mod vm_list;

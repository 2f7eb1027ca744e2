//! Clients of the platform that the fleet runs on: its object API and its list of VMs.

pub mod client_socket;
pub mod error;
pub mod http;
pub mod http_client;
pub mod object_api;
pub mod object_http;
pub mod response;
pub mod store;
pub mod vm_list;

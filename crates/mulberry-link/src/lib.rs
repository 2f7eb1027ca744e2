//! Authenticated TCP connections between entries and sides. Messages are encoded with postcard and
//! sent in length-prefixed frames.

mod connection;
mod error;

pub use connection::LinkConnection;
pub use connection::LinkReader;
pub use connection::LinkWriter;
pub use error::LinkError;

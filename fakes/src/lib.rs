//! Fakes of the systems around almondwell, and a builder that starts local sets of its processes.

pub mod chaos;
pub mod engine;
pub mod http;
pub mod malformed;
pub mod plain;
pub mod poll;
pub mod process;
pub mod proxy;
pub mod replacement;
pub mod server;
pub mod set;

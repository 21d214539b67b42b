//! Messages between almondwell's processes, stored objects, and settings that operators write.
//!
//! `schema-gen` generates the types in `generated.rs` from `schema.json`. The remaining modules parse
//! settings files.

mod fault;
mod file;
#[allow(clippy::all, clippy::pedantic)]
#[rustfmt::skip]
mod generated;
mod line;
mod setting;
mod settings;

pub use fault::Fault as FileFault;
pub use file::{Entry as FileEntry, File, Section};
pub use generated::*;
pub use setting::{Ratio, Setting};
pub use settings::{Key, Settings, Unset, nearest};

pub(crate) use setting::parse_default;

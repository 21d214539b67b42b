//! Messages between almondwell's processes and settings that operators write.
//!
//! The types come from `schema.json`; `schema-gen` writes `generated.rs`.

mod file;
#[allow(clippy::all, clippy::pedantic)]
#[rustfmt::skip]
mod generated;
mod setting;
mod settings;

pub use file::{Fault as FileFault, File, Section};
pub use generated::*;
pub use setting::Setting;
pub use settings::{Key, Settings, Unset, nearest};

pub(crate) use setting::default_of;

//! Integration tests over real processes, a module per feature.

mod callers;
mod path;
mod report;

//! Integration tests over real processes, a module per feature.

mod callers;
mod configuration;
mod membership;
mod path;
mod report;
mod stop;

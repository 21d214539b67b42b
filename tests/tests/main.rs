//! Integration tests over real processes, a module per feature.

mod bad_input;
mod callers;
mod cli;
mod configuration;
mod ledger;
mod membership;
mod path;
mod raw;
mod report;
mod stop;
mod stored;

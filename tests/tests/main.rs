//! Integration tests over real processes, a module per feature.

mod callers;
mod configuration;
mod membership;
mod outage;
mod path;
mod report;
mod stop;

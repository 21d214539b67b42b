//! Integration tests with real processes, one module per feature.

mod bad_input;
mod callers;
mod cli;
mod configuration;
mod docs;
mod endless;
mod faults;
mod heads;
mod ledger;
mod malformed;
mod membership;
mod outage;
mod path;
mod policy;
mod quarantine;
mod random;
mod raw;
mod report;
mod stop;
mod stored;
mod unauthenticated;
mod unframed;

//! Integration tests over real processes, a module per feature.

mod path;

//! Settings structs as sets of keys.

/// One key of a settings struct.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Key {
    /// Default, as text; empty where the key has none.
    pub default: &'static str,
    /// One sentence on what it sets.
    pub description: &'static str,
    /// Name in the file.
    pub name: &'static str,
}

/// Why a key was not set.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Unset {
    /// The value is not of the key's type; holds what was expected.
    Expected(&'static str),
    /// The struct has no such key.
    UnknownKey,
}

/// A struct whose fields are set by key.
pub trait Settings: Default {
    /// All keys, in the order of the schema.
    const KEYS: &'static [Key];

    /// Sets the field `key` from `value`.
    fn set(&mut self, key: &str, value: &str) -> Result<(), Unset>;
}

/// The candidate that looks most like `name`, if any does.
pub fn nearest<'a>(name: &str, candidates: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    const LEAST_SIMILARITY: f64 = 0.6;
    candidates
        .map(|candidate| (strsim::jaro_winkler(name, candidate), candidate))
        .filter(|(similarity, _)| *similarity >= LEAST_SIMILARITY)
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, candidate)| candidate)
}

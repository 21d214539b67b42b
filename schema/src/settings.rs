//! Access to the fields of settings structs by key.

/// One key of a settings struct.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Key {
    /// Default value as text; empty if there is none.
    pub default: &'static str,
    /// Description in one sentence, as `--help` shows it.
    pub description: &'static str,
    /// Name in settings files.
    pub name: &'static str,
}

/// Error of [`Settings::set`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Unset {
    /// The value is invalid for the key; holds [`crate::Setting::EXPECTED`].
    Expected(&'static str),
    /// The struct has no such key.
    UnknownKey,
}

/// A struct whose fields are set by key.
pub trait Settings: Default {
    /// All keys, in the order of the schema.
    const KEYS: &'static [Key];

    /// Parses `value` and assigns it to the field `key`.
    fn set(&mut self, key: &str, value: &str) -> Result<(), Unset>;
}

/// Returns the candidate that is most similar to `name`; `None` if none has a Jaro-Winkler similarity of
/// 0.6 or more.
pub fn nearest<'a>(name: &str, candidates: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    const MIN_SIMILARITY: f64 = 0.6;
    candidates
        .map(|candidate| (strsim::jaro_winkler(name, candidate), candidate))
        .filter(|(similarity, _)| *similarity >= MIN_SIMILARITY)
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, candidate)| candidate)
}

//! One line of an INI file.

use ini::{Ini, ParseOption};

/// One line of an INI file.
pub(crate) enum Line {
    /// An empty line or a comment.
    Blank,
    Entry {
        key: Box<str>,
        value: Box<str>,
    },
    Heading(Box<str>),
}

impl Line {
    /// Parses one line; `None` if it is malformed. Lines are parsed one by one because the INI parser
    /// stops at the first error, which would hide later ones.
    pub(crate) fn parse(text: &str) -> Option<Self> {
        let text = text.trim();
        if text.is_empty() {
            return Some(Self::Blank);
        }
        let ini = Ini::load_from_str_opt(text, options()).ok()?;
        let mut sections = ini.iter();
        let (title, properties) = sections.next()?;
        if let Some((key, value)) = properties.iter().next() {
            return Some(Self::Entry {
                key: key.into(),
                value: value.into(),
            });
        }
        match title.or_else(|| sections.next().and_then(|(title, _)| title)) {
            Some(title) => Some(Self::Heading(title.into())),
            None => text.starts_with([';', '#']).then_some(Self::Blank),
        }
    }
}

/// Options under which values are taken literally, without escapes or quotes.
fn options() -> ParseOption {
    ParseOption {
        enabled_escape: false,
        enabled_quote: false,
        ..ParseOption::default()
    }
}

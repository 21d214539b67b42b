//! One line of an INI file.

use ini::{Ini, ParseOption};

/// One line of an INI file.
pub(crate) enum Line {
    /// Nothing or a comment.
    Blank,
    Entry {
        key: Box<str>,
        value: Box<str>,
    },
    Heading(Box<str>),
}

impl Line {
    /// Parses a line on its own, so that an error in it hides no other; `None` when it is malformed.
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

fn options() -> ParseOption {
    ParseOption {
        enabled_escape: false,
        enabled_quote: false,
        ..ParseOption::default()
    }
}

//! Parsing of setting values from text.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// A value that can be parsed from a settings file or flag.
pub trait Setting: Sized {
    /// Description of valid values, used in errors after `expected`.
    const EXPECTED: &'static str;

    /// Parses the value; `None` if `text` is not valid.
    fn read(text: &str) -> Option<Self>;
}

impl Setting for bool {
    const EXPECTED: &'static str = "yes or no";

    fn read(text: &str) -> Option<Self> {
        match text {
            "yes" => Some(true),
            "no" => Some(false),
            _ => None,
        }
    }
}

impl Setting for Box<str> {
    const EXPECTED: &'static str = "text";

    fn read(text: &str) -> Option<Self> {
        Some(text.into())
    }
}

impl Setting for Duration {
    const EXPECTED: &'static str = "a duration such as 250ms, 2s, 5m or 1h";

    fn read(text: &str) -> Option<Self> {
        let is_number = |character: char| character.is_ascii_digit() || character == '.';
        let split = text.find(|character| !is_number(character))?;
        let (number, unit) = text.split_at(split);
        let number: f64 = number.parse().ok()?;
        let seconds = match unit.trim() {
            "ms" => number / 1000.0,
            "s" => number,
            "m" => number * 60.0,
            "h" => number * 3600.0,
            _ => return None,
        };
        Self::try_from_secs_f64(seconds).ok()
    }
}

/// A number of 0 or more, rounded to three decimals; stored in thousandths.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Ratio {
    thousandths: u32,
}

impl Ratio {
    /// Returns the ratio as a number.
    pub fn value(self) -> f64 {
        f64::from(self.thousandths) / 1000.0
    }
}

impl Setting for Ratio {
    const EXPECTED: &'static str = "a number of 0 or more such as 0.2";

    fn read(text: &str) -> Option<Self> {
        let thousandths = (text.trim().parse::<f64>().ok()? * 1000.0).round();
        if !(0.0..=f64::from(u32::MAX)).contains(&thousandths) {
            return None;
        }
        // The bounds are checked above.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let thousandths = thousandths as u32;
        Some(Self { thousandths })
    }
}

impl Setting for SocketAddr {
    const EXPECTED: &'static str = "an IP address and port such as 127.0.0.1:8080";

    fn read(text: &str) -> Option<Self> {
        text.parse().ok()
    }
}

impl<T: Setting> Setting for Option<T> {
    const EXPECTED: &'static str = T::EXPECTED;

    fn read(text: &str) -> Option<Self> {
        if text.is_empty() {
            return Some(None);
        }
        T::read(text).map(Some)
    }
}

impl<T: Setting> Setting for Vec<T> {
    const EXPECTED: &'static str = "values separated by commas";

    fn read(text: &str) -> Option<Self> {
        text.split(',')
            .map(str::trim)
            .filter(|item| !item.is_empty())
            .map(T::read)
            .collect()
    }
}

macro_rules! integers {
    ($($ty:ty => $expected:literal),* $(,)?) => {
        $(impl Setting for $ty {
            const EXPECTED: &'static str = $expected;

            fn read(text: &str) -> Option<Self> {
                text.parse().ok()
            }
        })*
    };
}

integers! {
    u8 => "a whole number from 0 to 255",
    u16 => "a whole number from 0 to 65535",
    u32 => "a whole number from 0 to 4294967295",
    u64 => "a whole number",
}

/// Parses a default from the schema; panics if it is invalid.
pub(crate) fn parse_default<T: Setting>(text: &str) -> T {
    T::read(text)
        .unwrap_or_else(|| panic!("default `{text}` in the schema: expected {}", T::EXPECTED))
}

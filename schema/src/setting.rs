//! Values of settings, read from text.

use std::net::SocketAddr;
use std::time::Duration;

/// A value that can be read from a settings file.
pub trait Setting: Sized {
    /// What a reader of an error should have written.
    const EXPECTED: &'static str;

    /// Reads the value, or `None` when `text` is not one.
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
        let split = text.find(|character: char| !character.is_ascii_digit())?;
        let (number, unit) = text.split_at(split);
        let number: u64 = number.parse().ok()?;
        match unit.trim() {
            "ms" => Some(Self::from_millis(number)),
            "s" => Some(Self::from_secs(number)),
            "m" => number.checked_mul(60).map(Self::from_secs),
            "h" => number.checked_mul(3600).map(Self::from_secs),
            _ => None,
        }
    }
}

impl Setting for SocketAddr {
    const EXPECTED: &'static str = "an IP address and port such as 127.0.0.1:8080";

    fn read(text: &str) -> Option<Self> {
        text.parse().ok()
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

/// Reads a default that the schema states.
pub(crate) fn default_of<T: Setting>(text: &str) -> T {
    T::read(text)
        .unwrap_or_else(|| panic!("default `{text}` in the schema: expected {}", T::EXPECTED))
}

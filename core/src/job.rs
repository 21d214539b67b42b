//! Attributes that a request carries for routing.

use crate::bands::Work;
use std::time::Duration;

/// Identifier of a part of a prompt, together with all parts before it.
pub type PartId = u64;

/// One part of a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Part {
    /// Identifier; equal for equal text after equal preceding parts.
    pub id: PartId,
    /// Number of tokens.
    pub tokens: u32,
}

/// Attributes that a request carries for routing.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Job {
    /// Caller's identifier of this attempt.
    pub attempt: Option<Box<str>>,
    /// Time after which the caller gives up.
    pub deadline: Option<Duration>,
    /// Output length that the caller expects, in tokens.
    pub expected_tokens: Option<u32>,
    /// API key of the caller.
    pub key: Option<Box<str>>,
    /// Identifier of the last event that the caller received, when it resumes a stream.
    pub last_event: Option<Box<str>>,
    /// Name of the model.
    pub model: Option<Box<str>>,
    /// Maximum output length in tokens.
    pub output_tokens: u32,
    /// Parts of the prompt in order; the last is unique to this request.
    pub parts: Vec<Part>,
    /// Prompt length in tokens.
    pub prompt_tokens: u32,
    /// Caller's identifier of the attempt that brought the first event, when it resumes a stream.
    pub resumes: Option<Box<str>>,
}

impl Job {
    /// Work of the request for an engine.
    pub fn work(&self) -> Work {
        let tokens = self.shared().iter().map(|part| part.tokens);
        let shared = tokens.fold(0, u32::saturating_add);
        Work {
            output: self.expected_tokens.unwrap_or(self.output_tokens),
            own: self.prompt_tokens.saturating_sub(shared),
            shared,
        }
    }

    /// Bytes of memory that the attributes take beside the structure itself.
    pub fn bytes(&self) -> usize {
        let texts = [
            &self.attempt,
            &self.key,
            &self.last_event,
            &self.model,
            &self.resumes,
        ];
        let texts = texts.into_iter().flatten().map(|text| text.len());
        texts.sum::<usize>() + self.parts.capacity() * size_of::<Part>()
    }

    /// The parts that other requests may share.
    pub fn shared(&self) -> &[Part] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }
}

//! Calls to the entries of a set.

use super::Set;
use crate::http::{self, Answer};
use eyre::Result;
use http_types::Method;
use serde_json::json;
use std::time::Duration;

const CALL_TIMEOUT: Duration = Duration::from_mins(1);

impl Set {
    /// Requests a chat completion of `tokens` tokens from the entry `index`, without streaming.
    pub async fn chat(
        &self,
        index: usize,
        class: &str,
        prompt: &str,
        tokens: u64,
    ) -> Result<Answer> {
        let body = chat_body(prompt, tokens, false);
        let headers = [("Almondwell-Class", class)];
        self.post(index, "/v1/chat/completions", &headers, &body)
            .await
    }

    /// Sends `body` to the order service through the entry `index`, under the idempotency key `key`.
    pub async fn order(&self, index: usize, class: &str, key: &str, body: &str) -> Result<Answer> {
        let path = format!("/v1/services/orders/{class}");
        self.post(index, &path, &[("Idempotency-Key", key)], body)
            .await
    }

    /// Posts `body` to the entry `index` with the key of the workspace `retail`.
    pub async fn post(
        &self,
        index: usize,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<Answer> {
        let address = self.entries[index].callers;
        let mut all = vec![
            ("Authorization", "Bearer retail-key"),
            ("Content-Type", "application/json"),
        ];
        all.extend(headers);
        let request = http::request(Method::Post, address, path, &all, body);
        http::call(address, request, CALL_TIMEOUT).await
    }
}

/// Body of a chat completion request to the fake engine, whose answer has `tokens` tokens.
pub fn chat_body(prompt: &str, tokens: u64, stream: bool) -> String {
    json!({
        "model": "almond",
        "messages": [{"role": "user", "content": prompt}],
        "metadata": {"tokens": tokens},
        "stream": stream,
    })
    .to_string()
}

//! Parses the body of a model call and estimates its tokens.

use std::str::FromStr;

use serde_json::Value;

use crate::{Error, ErrorKind, ModelName, Result, Tokens};

const BYTES_PER_TOKEN: u64 = 4;
const DEFAULT_OUTPUT_TOKENS: u64 = 256; // when the body sets no limit
const MAX_OUTPUT_TOKENS: u64 = 32_768;

/// Returns the tokens charged for a prompt of `bytes`.
pub fn estimate_prompt_tokens(bytes: usize) -> Tokens {
    Tokens((bytes as u64).div_ceil(BYTES_PER_TOKEN))
}

/// The parts of a model call that admission and routing need.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelCall {
    /// Name of the model or adapter.
    pub model: ModelName,
    /// Whether the response is streamed.
    pub stream: bool,
    /// Tokens charged for the prompt.
    pub prompt_tokens: Tokens,
    /// Maximum number of tokens in the response.
    pub max_output: Tokens,
    /// First characters of the prompt as JSON; routing by affinity sends equal prefixes to one
    /// upstream.
    pub prefix: String,
}

fn invalid_field(field: &str, value: &Value, wanted: &str) -> Error {
    Error::new(ErrorKind::InvalidRequest, format!("{field} {value} must be {wanted}"))
}

const MAX_PREFIX_CHARS: usize = 256;

fn prompt_text(body: &Value) -> Result<String> {
    if let Some(messages) = body.get("messages") {
        let list = messages.as_array().filter(|list| !list.is_empty());
        let list =
            list.ok_or_else(|| invalid_field("messages", messages, "a list with a message"))?;
        for (i, message) in list.iter().enumerate() {
            if !message.get("role").is_some_and(Value::is_string) {
                return Err(invalid_field(
                    &format!("messages[{i}]"),
                    message,
                    "an object with a role",
                ));
            }
        }
        return Ok(messages.to_string());
    }
    match body.get("prompt") {
        Some(prompt @ (Value::String(_) | Value::Array(_))) => Ok(prompt.to_string()),
        Some(other) => Err(invalid_field("prompt", other, "text or a list")),
        None => Err(Error::new(ErrorKind::InvalidRequest, "\"messages\" or \"prompt\" is missing")),
    }
}

fn output_limit(body: &Value) -> Result<u64> {
    let field = ["max_completion_tokens", "max_tokens"]
        .into_iter()
        .find_map(|name| body.get(name).map(|value| (name, value)));
    let Some((name, value)) = field else {
        return Ok(DEFAULT_OUTPUT_TOKENS);
    };
    let limit = value.as_u64().filter(|limit| (1..=MAX_OUTPUT_TOKENS).contains(limit));
    limit.ok_or_else(|| {
        invalid_field(name, value, &format!("a whole number from 1 to {MAX_OUTPUT_TOKENS}"))
    })
}

impl ModelCall {
    /// Parses the body of a call to the model interface.
    ///
    /// # Errors
    ///
    /// `InvalidRequest` naming the field and its value.
    pub fn parse(body: &Value) -> Result<Self> {
        if !body.is_object() {
            return Err(Error::new(ErrorKind::InvalidRequest, "body must be a JSON object"));
        }
        let model = body.get("model").unwrap_or(&Value::Null);
        let name = model.as_str().ok_or_else(|| invalid_field("model", model, "text"))?;
        let stream = match body.get("stream") {
            None | Some(Value::Null) => false,
            Some(value) => {
                value.as_bool().ok_or_else(|| invalid_field("stream", value, "true or false"))?
            }
        };
        let count = body.get("n").and_then(Value::as_u64).unwrap_or(1);
        if count != 1 {
            return Err(invalid_field("n", &Value::from(count), "1"));
        }
        let text = prompt_text(body)?;
        let prefix = text.chars().take(MAX_PREFIX_CHARS).collect();
        Ok(ModelCall {
            model: ModelName::from_str(name)?,
            stream,
            prompt_tokens: estimate_prompt_tokens(text.len()),
            max_output: Tokens(output_limit(body)?),
            prefix,
        })
    }

    /// Returns the maximum number of tokens that the call can be charged.
    pub fn max_charge(&self) -> Tokens {
        Tokens(self.prompt_tokens.0 + self.max_output.0)
    }
}

//! Parses and checks requests in OpenAI's format.

use anvilloft_ledger::Config;
use anvilloft_types::Tokens;
use bytes::Bytes;
use http::StatusCode;
use serde_json::Map;
use serde_json::Value;
use serde_json::json;
use xxhash_rust::xxh3::xxh3_64;

use crate::error::Refusal;

/// Largest length of a model name, in bytes.
const MAX_MODEL_NAME: usize = 256;
/// Bytes of the prompt that decide on the endpoint with a cached prefix.
const PREFIX_BYTES: usize = 1024;
/// Output limit where neither request nor model names one, in tokens.
const FALLBACK_MAX_TOKENS: u64 = 1024;

/// Which of the two model paths is called.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    Chat,
    Completion,
}

impl Kind {
    pub(crate) fn path(self) -> &'static str {
        match self {
            Self::Chat => "/v1/chat/completions",
            Self::Completion => "/v1/completions",
        }
    }
}

/// A checked model request.
#[derive(Clone, Debug)]
pub(crate) struct ModelRequest {
    pub(crate) model: String,
    pub(crate) version: String,
    pub(crate) stream: bool,
    /// Whether the caller asked for the usage event.
    pub(crate) include_usage: bool,
    pub(crate) max_tokens: Tokens,
    /// Upper bound of prompt tokens: one for each byte of the body.
    pub(crate) prompt_bound: Tokens,
    pub(crate) prefix: u64,
    /// Body for the endpoint.
    pub(crate) body: Bytes,
}

fn max_tokens(map: &Map<String, Value>) -> Result<Option<u64>, Refusal> {
    for field in ["max_completion_tokens", "max_tokens"] {
        match map.get(field) {
            None | Some(Value::Null) => {}
            Some(v) => {
                return match v.as_u64() {
                    Some(n) if n > 0 => Ok(Some(n)),
                    _ => Err(Refusal::bad_request(field, "must be a positive integer")),
                };
            }
        }
    }
    Ok(None)
}

fn flag(map: &Map<String, Value>, field: &str) -> Result<bool, Refusal> {
    match map.get(field) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(b)) => Ok(*b),
        Some(_) => Err(Refusal::bad_request(field, "must be true or false")),
    }
}

/// Returns the text that starts the prompt.
fn prompt_head(kind: Kind, map: &Map<String, Value>) -> Result<String, Refusal> {
    match kind {
        Kind::Chat => {
            let messages = map
                .get("messages")
                .and_then(Value::as_array)
                .filter(|m| !m.is_empty())
                .ok_or_else(|| Refusal::bad_request("messages", "must be a list with entries"))?;
            for message in messages {
                let ok = message
                    .as_object()
                    .is_some_and(|m| m.get("role").is_some_and(Value::is_string));
                if !ok {
                    return Err(Refusal::bad_request(
                        "messages",
                        "each message must be an object with a role",
                    ));
                }
            }
            let mut head = String::new();
            for message in messages {
                if head.len() >= PREFIX_BYTES {
                    break;
                }
                match message.get("content") {
                    Some(Value::String(s)) => head.push_str(s),
                    Some(other) => head.push_str(&other.to_string()),
                    None => {}
                }
                head.push('\n');
            }
            Ok(head)
        }
        Kind::Completion => match map.get("prompt") {
            Some(Value::String(s)) if !s.is_empty() => Ok(s.clone()),
            _ => Err(Refusal::bad_request("prompt", "must be a text")),
        },
    }
}

/// Checks a request body against the configuration.
pub(crate) fn parse(config: &Config, kind: Kind, body: &Bytes) -> Result<ModelRequest, Refusal> {
    let mut map: Map<String, Value> = serde_json::from_slice(body)
        .map_err(|e| Refusal::bad_request("", format!("the body is not a JSON object: {e}")))?;
    let name = match map.get("model") {
        Some(Value::String(s)) if !s.is_empty() && s.len() <= MAX_MODEL_NAME => s.clone(),
        _ => return Err(Refusal::bad_request("model", "must be the name of a model")),
    };
    let model = config.model(&name).ok_or_else(|| {
        let mut refusal = Refusal::new(
            StatusCode::NOT_FOUND,
            "model_not_found",
            "there is no model of this name",
        );
        refusal.param = Some("model".into());
        refusal
    })?;
    let head = prompt_head(kind, &map)?;
    for field in ["n", "best_of"] {
        match map.get(field) {
            None | Some(Value::Null) => {}
            Some(v) if v.as_u64() == Some(1) => {}
            Some(_) => return Err(Refusal::bad_request(field, "only 1 is offered")),
        }
    }
    let stream = flag(&map, "stream")?;
    let include_usage = match map.get("stream_options") {
        None | Some(Value::Null) => false,
        Some(Value::Object(options)) => flag(options, "include_usage")?,
        Some(_) => return Err(Refusal::bad_request("stream_options", "must be an object")),
    };
    let limit = if model.max_tokens > 0 {
        u64::from(model.max_tokens)
    } else {
        u64::from(u32::MAX)
    };
    let max_tokens = match max_tokens(&map)? {
        Some(n) if n > limit => {
            return Err(Refusal::bad_request(
                "max_tokens",
                format!("the model's limit is {limit}"),
            ));
        }
        Some(n) => n,
        None if model.default_max_tokens > 0 => u64::from(model.default_max_tokens),
        None => FALLBACK_MAX_TOKENS.min(limit),
    };
    // Engines know either name; the newer one is replaced where it was given.
    if map.contains_key("max_completion_tokens") {
        map.insert("max_completion_tokens".into(), max_tokens.into());
    }
    map.insert("max_tokens".into(), max_tokens.into());
    if stream {
        let options = map.entry("stream_options").or_insert_with(|| json!({}));
        if !options.is_object() {
            *options = json!({});
        }
        options["include_usage"] = true.into();
    }
    let mut end = head.len().min(PREFIX_BYTES);
    while !head.is_char_boundary(end) {
        end -= 1;
    }
    let prefix = xxh3_64(&head.as_bytes()[..end]);
    let version = model.version.clone();
    let rewritten = serde_json::to_vec(&map)
        .map_err(|e| Refusal::bad_request("", format!("the body can't be sent on: {e}")))?;
    Ok(ModelRequest {
        model: name,
        version,
        stream,
        include_usage,
        max_tokens,
        prompt_bound: body.len() as u64,
        prefix,
        body: Bytes::from(rewritten),
    })
}

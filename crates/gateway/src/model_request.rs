//! Parses and validates model requests in OpenAI's format.

use anvilloft_ledger::Config;
use anvilloft_types::Tokens;
use bytes::Bytes;
use http::StatusCode;
use serde_json::Map;
use serde_json::Value;
use serde_json::json;
use xxhash_rust::xxh3::xxh3_64;

use crate::error::Refusal;

/// Maximum length of a model name, in bytes.
const MAX_MODEL_NAME_BYTES: usize = 256;
/// Length of the prompt prefix that is hashed to find an endpoint with a cached
/// prefix, in bytes.
const PREFIX_BYTES: usize = 1024;
/// Output limit when neither the request nor the model sets one, in tokens.
const FALLBACK_MAX_TOKENS: u64 = 1024;

/// The two kinds of model requests, each with its own path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CompletionKind {
    Chat,
    Completion,
}

impl CompletionKind {
    pub(crate) fn path(self) -> &'static str {
        match self {
            Self::Chat => "/v1/chat/completions",
            Self::Completion => "/v1/completions",
        }
    }
}

/// A validated model request.
#[derive(Clone, Debug)]
pub(crate) struct ModelRequest {
    pub(crate) model: String,
    pub(crate) version: String,
    pub(crate) stream: bool,
    /// Whether the caller asked for the usage event of a stream.
    pub(crate) include_usage: bool,
    pub(crate) max_tokens: Tokens,
    /// Upper bound of prompt tokens: one per byte of the body.
    pub(crate) max_prompt_tokens: Tokens,
    pub(crate) prefix_hash: u64,
    /// Body to send to the endpoint.
    pub(crate) body: Bytes,
}

fn requested_max_tokens(map: &Map<String, Value>) -> Result<Option<u64>, Refusal> {
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

fn optional_bool(map: &Map<String, Value>, field: &str) -> Result<bool, Refusal> {
    match map.get(field) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(b)) => Ok(*b),
        Some(_) => Err(Refusal::bad_request(field, "must be true or false")),
    }
}

/// Returns the text at the start of the prompt, at least its first
/// [`PREFIX_BYTES`] if it is that long. Fails when the prompt is malformed.
fn prompt_head(kind: CompletionKind, map: &Map<String, Value>) -> Result<String, Refusal> {
    match kind {
        CompletionKind::Chat => {
            let messages = map
                .get("messages")
                .and_then(Value::as_array)
                .filter(|m| !m.is_empty())
                .ok_or_else(|| Refusal::bad_request("messages", "must be a non-empty list"))?;
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
        CompletionKind::Completion => match map.get("prompt") {
            Some(Value::String(s)) if !s.is_empty() => Ok(s.clone()),
            _ => Err(Refusal::bad_request("prompt", "must be a non-empty string")),
        },
    }
}

/// Parses a request body, validates it against the configuration and rewrites it
/// for the endpoint.
pub(crate) fn parse(
    config: &Config,
    kind: CompletionKind,
    body: &Bytes,
) -> Result<ModelRequest, Refusal> {
    let mut map: Map<String, Value> = serde_json::from_slice(body)
        .map_err(|e| Refusal::bad_request("", format!("the body is not a JSON object: {e}")))?;
    let name = match map.get("model") {
        Some(Value::String(s)) if !s.is_empty() && s.len() <= MAX_MODEL_NAME_BYTES => s.clone(),
        _ => return Err(Refusal::bad_request("model", "must be the name of a model")),
    };
    let model = config.model(&name).ok_or_else(|| {
        let mut refusal = Refusal::new(
            StatusCode::NOT_FOUND,
            "model_not_found",
            "there is no model with this name",
        );
        refusal.param = Some("model".into());
        refusal
    })?;
    let head = prompt_head(kind, &map)?;
    for field in ["n", "best_of"] {
        match map.get(field) {
            None | Some(Value::Null) => {}
            Some(v) if v.as_u64() == Some(1) => {}
            Some(_) => return Err(Refusal::bad_request(field, "must be 1")),
        }
    }
    let stream = optional_bool(&map, "stream")?;
    let include_usage = match map.get("stream_options") {
        None | Some(Value::Null) => false,
        Some(Value::Object(options)) => optional_bool(options, "include_usage")?,
        Some(_) => return Err(Refusal::bad_request("stream_options", "must be an object")),
    };
    let limit = if model.max_tokens > 0 {
        u64::from(model.max_tokens)
    } else {
        u64::from(u32::MAX)
    };
    let max_tokens = match requested_max_tokens(&map)? {
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
    // Engines read one of the two names, so `max_tokens` is always set and the
    // newer `max_completion_tokens` is replaced if the caller gave it.
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
    let prefix_hash = xxh3_64(&head.as_bytes()[..end]);
    let version = model.version.clone();
    let rewritten = serde_json::to_vec(&map).map_err(|e| {
        Refusal::bad_request(
            "",
            format!("the body can't be serialised for the endpoint: {e}"),
        )
    })?;
    Ok(ModelRequest {
        model: name,
        version,
        stream,
        include_usage,
        max_tokens,
        max_prompt_tokens: body.len() as u64,
        prefix_hash,
        body: Bytes::from(rewritten),
    })
}

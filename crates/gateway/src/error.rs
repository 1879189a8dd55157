//! Error responses to callers.

use std::time::Duration;

use anvilloft_types::RunState;
use http::HeaderValue;
use http::StatusCode;
use serde_json::json;
use volo_http::response::Response;

use crate::api::json_response;

/// A refused or failed request, as reported to the caller.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    /// HTTP status.
    pub status: StatusCode,
    /// Stable machine-readable code.
    pub code: &'static str,
    /// Human-readable reason.
    pub message: String,
    /// Whether the request was run, as far as is known.
    pub run: RunState,
    /// Delay after which a retry may succeed.
    pub retry_after: Option<Duration>,
    /// Name of the invalid field or header of the request.
    pub param: Option<String>,
    /// Addresses of routers to try instead.
    pub alternative_routers: Vec<String>,
}

impl Refusal {
    /// Creates a refusal of a request that was not run.
    pub fn new(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        Self {
            status,
            code,
            message: message.into(),
            run: RunState::No,
            retry_after: None,
            param: None,
            alternative_routers: Vec::new(),
        }
    }

    /// Refuses a malformed request. `param` names the invalid field, or is empty.
    pub fn bad_request(param: &str, message: impl Into<String>) -> Self {
        let mut refusal = Self::new(StatusCode::BAD_REQUEST, "invalid_request", message);
        refusal.param = (!param.is_empty()).then(|| param.to_owned());
        refusal
    }

    /// Refuses a caller whose key is missing or unknown.
    pub fn invalid_key() -> Self {
        Self::new(
            StatusCode::UNAUTHORIZED,
            "invalid_key",
            "the bearer key is missing or unknown",
        )
    }

    /// Refuses a body of more than `limit` bytes.
    pub fn body_too_large(limit: usize) -> Self {
        Self::new(
            StatusCode::PAYLOAD_TOO_LARGE,
            "body_too_large",
            format!("the body is longer than {limit} bytes"),
        )
    }

    /// Refuses a request that this router can't serve now; other routers may.
    pub fn unavailable(code: &'static str, message: impl Into<String>) -> Self {
        Self::new(StatusCode::SERVICE_UNAVAILABLE, code, message)
    }

    /// Reports a failure of the endpoint.
    pub fn bad_gateway(code: &'static str, message: impl Into<String>, run: RunState) -> Self {
        let mut refusal = Self::new(StatusCode::BAD_GATEWAY, code, message);
        refusal.run = run;
        refusal
    }

    /// Sets whether the request was run, as far as is known.
    #[must_use]
    pub fn with_run_state(mut self, run: RunState) -> Self {
        self.run = run;
        self
    }

    /// Sets the delay after which a retry may succeed.
    #[must_use]
    pub fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Returns the error as JSON.
    pub fn json(&self) -> serde_json::Value {
        let kind = match self.status.as_u16() {
            401 => "authentication_error",
            403 => "permission_error",
            402 => "insufficient_quota",
            429 => "rate_limit_error",
            400..=499 => "invalid_request_error",
            _ => "server_error",
        };
        json!({"error": {
            "message": self.message,
            "type": kind,
            "code": self.code,
            "param": self.param,
            "run": self.run.as_str(),
            "retry_after_ms": self.retry_after.map(|d| d.as_millis() as u64),
            "try": self.alternative_routers,
        }})
    }

    /// Returns the error as an HTTP response.
    pub fn into_response(self) -> Response {
        let mut resp = json_response(self.json().to_string());
        *resp.status_mut() = self.status;
        if let Some(after) = self.retry_after {
            let seconds = after.as_millis().div_ceil(1000) as u64;
            let headers = resp.headers_mut();
            headers.insert(http::header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        resp
    }
}

//! Errors of the administration API.

use anvilloft_wire::CallError;
use anvilloft_wire::command::Refused;
use anvilloft_wire::control::Answer;
use quick_error::quick_error;
use serde_json::Value;
use serde_json::json;

use crate::evacuations::EvacuationError;

quick_error! {
    /// Reason why a call failed. Each has an HTTP status and a stable code.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum ApiError {
        /// The request is malformed.
        BadRequest(reason: String) {
            display("{}", reason)
        }
        /// The request has no key, or one that the configuration doesn't contain.
        Unauthorized {
            display("a valid key is required (Authorization: Bearer ...)")
        }
        /// The key's role may not use the call.
        Forbidden {
            display("the key's role does not permit this call")
        }
        /// There is no such call or item, or it belongs to another team.
        NotFound(what: String) {
            display("there is no {}", what)
        }
        /// The change is based on another revision than the current one.
        Conflict(current: u64) {
            display("the configuration is at revision {}, not at the base revision of the change; read it and repeat the change", current)
        }
        /// The ledger refused the request, for example because it breaks a rule.
        Refused(code: String, reason: String) {
            display("{}", reason)
        }
        /// The request body exceeds the limit, in bytes.
        TooLarge(limit: u64) {
            display("the request body exceeds {} bytes", limit)
        }
        /// Too many requests are in flight.
        Busy {
            display("too many administration requests are in flight; try again")
        }
        /// The request was not run.
        Unavailable(reason: String) {
            display("not run: {}", reason)
        }
        /// The request may have been run.
        Unknown(reason: String) {
            display("the outcome is unknown, send the same request with the same id again: {}", reason)
        }
        /// An internal fault, such as an unexpected reply of the control group.
        Internal(reason: String) {
            display("internal error: {}", reason)
        }
    }
}

impl ApiError {
    /// Returns the HTTP status.
    pub fn status(&self) -> u16 {
        match self {
            Self::BadRequest(_) => 400,
            Self::Unauthorized => 401,
            Self::Forbidden => 403,
            Self::NotFound(_) => 404,
            Self::Conflict(_) => 409,
            Self::TooLarge(_) => 413,
            Self::Refused(..) => 422,
            Self::Busy => 429,
            Self::Internal(_) => 500,
            Self::Unavailable(_) => 503,
            Self::Unknown(_) => 504,
        }
    }

    /// Returns the stable code.
    pub fn code(&self) -> &str {
        match self {
            Self::BadRequest(_) => "bad_request",
            Self::Unauthorized => "unauthorized",
            Self::Forbidden => "forbidden",
            Self::NotFound(_) => "not_found",
            Self::Conflict(_) => "conflict",
            Self::TooLarge(_) => "too_large",
            Self::Refused(code, _) => code,
            Self::Busy => "busy",
            Self::Internal(_) => "internal",
            Self::Unavailable(_) => "unavailable",
            Self::Unknown(_) => "unknown",
        }
    }

    /// Returns the body of the response.
    pub fn to_json(&self) -> Value {
        let mut error = json!({ "code": self.code(), "message": self.to_string() });
        if let Self::Conflict(current) = self {
            error["current"] = json!(current);
        }
        json!({ "error": error })
    }
}

impl From<CallError> for ApiError {
    fn from(err: CallError) -> Self {
        match err {
            CallError::Unavailable(reason) => Self::Unavailable(reason),
            CallError::Unknown(reason) => Self::Unknown(reason),
        }
    }
}

impl From<Refused> for ApiError {
    fn from(refused: Refused) -> Self {
        Self::Refused(refused.code, refused.message)
    }
}

impl From<EvacuationError> for ApiError {
    fn from(err: EvacuationError) -> Self {
        match err {
            EvacuationError::Refused(refused) => refused.into(),
            EvacuationError::Call(err) => err.into(),
        }
    }
}

impl From<Answer> for ApiError {
    /// Converts an answer of a kind that the call doesn't expect.
    fn from(answer: Answer) -> Self {
        match answer {
            Answer::NotLeader(_) => Self::Unavailable("no leader is known".to_owned()),
            Answer::Unavailable(reason) => Self::Unavailable(reason),
            Answer::Unknown(reason) => Self::Unknown(reason),
            Answer::Applied(_)
            | Answer::Lease(_)
            | Answer::QueryResult(_)
            | Answer::Lent(_)
            | Answer::Table(_) => {
                Self::Internal("unexpected kind of reply from the control group".to_owned())
            }
        }
    }
}

//! Errors of the administration API.

use anvilloft_wire::CallError;
use anvilloft_wire::command::Refused;
use anvilloft_wire::control::Answer;
use quick_error::quick_error;
use serde_json::Value;
use serde_json::json;

quick_error! {
    /// Why a call failed. Each has an HTTP status and a stable code.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum ApiError {
        /// The request can't be understood.
        BadRequest(reason: String) {
            display("{}", reason)
        }
        /// No key, or one that the configuration doesn't hold.
        Unauthorized {
            display("a valid key is needed (Authorization: Bearer ...)")
        }
        /// The key's role may not use the call.
        Forbidden {
            display("the key's role does not permit this call")
        }
        /// There is no such call or item, or it belongs to another team.
        NotFound(what: String) {
            display("there is no {}", what)
        }
        /// The change was made against another revision.
        Conflict(current: u64) {
            display("the configuration is at revision {}; read it and make the change again", current)
        }
        /// The change breaks a rule of the ledger.
        Refused(code: String, reason: String) {
            display("{}", reason)
        }
        /// The body is larger than the limit.
        TooLarge(limit: u64) {
            display("the body exceeds {} bytes", limit)
        }
        /// Too many requests run.
        Busy {
            display("too many administration requests run; try again")
        }
        /// The request was not run.
        Unavailable(reason: String) {
            display("not run: {}", reason)
        }
        /// The request may have been run.
        Unknown(reason: String) {
            display("the outcome is unknown, send the same request with the same id again: {}", reason)
        }
        /// The control group sent a reply that makes no sense.
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

    /// Returns the body of the answer.
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

impl From<Answer> for ApiError {
    /// Converts an answer that the call did not expect.
    fn from(answer: Answer) -> Self {
        match answer {
            Answer::NotLeader(_) => Self::Unavailable("no leader is known".to_owned()),
            Answer::Unavailable(reason) => Self::Unavailable(reason),
            Answer::Unknown(reason) => Self::Unknown(reason),
            Answer::Applied(_)
            | Answer::Lease(_)
            | Answer::QueryResult(_)
            | Answer::Lent(_)
            | Answer::Table(_) => Self::Internal("the reply is of another kind".to_owned()),
        }
    }
}

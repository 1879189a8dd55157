//! The border to a deployment's names of headers and format of the table.

use anvilloft_dispatch::PromptPart;
use anvilloft_routes::RouteTable;
use anvilloft_types::prelude::*;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::StatusCode;

/// Token counts that a caller declares for a model request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenCounts {
    /// Tokens of the prompt.
    pub prompt: Tokens,
    /// Most tokens of the answer.
    pub max_output: Tokens,
}

impl TokenCounts {
    /// Returns the upper bound of what the request may use.
    pub fn max_total(&self) -> Tokens {
        self.prompt.saturating_add(self.max_output)
    }
}

/// What a request's header says.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Id of this request, repeated by the endpoint in its answer.
    pub id: HeaderValue,
    /// How long the caller will wait.
    pub max_wait: Option<Duration>,
    /// Key of the caller.
    pub key: Option<String>,
    /// Parts of the prompt, in order; empty for a plain request.
    pub prompt: Vec<PromptPart>,
    /// Declared token counts of a model request.
    pub tokens: Option<TokenCounts>,
}

/// What an endpoint is told besides the caller's own request.
#[derive(Clone, Copy, Debug)]
pub struct ForwardContext<'a> {
    /// Time that is left.
    pub time_left: Duration,
    /// Name of the endpoint that is meant; another one at its address refuses.
    pub endpoint: &'a str,
    /// Team of the caller.
    pub team: Option<&'a str>,
    /// Urgency, 0 first, 9 last.
    pub urgency: u8,
    /// Id of the last event that the caller has, where this router resumes.
    pub last_event: Option<&'a str>,
}

/// What an endpoint's answer says about the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutionStatus {
    /// The request was run.
    Run,
    /// The endpoint had no room and did not run it.
    Full,
    /// Another endpoint has the address and did not run it.
    Misdirected,
}

/// Translates between a deployment and the relay.
pub trait ProtocolAdapter: Send + Sync {
    /// Reads a request's header.
    ///
    /// # Errors
    ///
    /// The name of the field that is missing or can't be read.
    fn parse_head(&self, headers: &HeaderMap) -> Result<RequestHead, &'static str>;

    /// Turns a caller's header into one for an endpoint.
    fn prepare_forward(&self, headers: &mut HeaderMap, context: &ForwardContext<'_>);

    /// Returns the header in which an endpoint repeats the request's id.
    fn request_id_header(&self) -> HeaderName;

    /// Reads what an endpoint's answer says about the run.
    fn execution_status(&self, status: StatusCode, headers: &HeaderMap) -> ExecutionStatus;

    /// Returns the value of `Retry-After`.
    fn retry_after_value(&self, after: Duration) -> HeaderValue;

    /// Decodes a published route table.
    ///
    /// # Errors
    ///
    /// The reason, for the log.
    fn decode_table(&self, source: &[u8]) -> Result<RouteTable, String>;
}

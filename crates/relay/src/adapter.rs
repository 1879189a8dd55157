//! Interface to a deployment's headers and to its format of the route table.

use anvilloft_dispatch::PromptPart;
use anvilloft_routes::RouteTable;
use anvilloft_types::availability::EndpointNotice;
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
    /// Maximum number of tokens of the answer.
    pub max_output: Tokens,
}

impl TokenCounts {
    /// Returns the maximum number of tokens that the request may use.
    pub fn max_total(&self) -> Tokens {
        self.prompt.saturating_add(self.max_output)
    }
}

/// The parts of a caller's request header that the relay uses.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Id of this request. The endpoint echoes it in its answer.
    pub id: HeaderValue,
    /// How long the caller waits for the answer, if the request says so.
    pub max_wait: Option<Duration>,
    /// API key of the caller.
    pub key: Option<String>,
    /// Parts of the prompt, in order. Empty for a request to a service without an
    /// engine.
    pub prompt: Vec<PromptPart>,
    /// Declared token counts of a model request.
    pub tokens: Option<TokenCounts>,
}

/// What an endpoint is sent besides the caller's request.
#[derive(Clone, Copy, Debug)]
pub struct ForwardContext<'a> {
    /// Time left until the deadline of the request.
    pub time_left: Duration,
    /// Name of the intended endpoint. Another endpoint at the same address refuses
    /// the request.
    pub endpoint: &'a str,
    /// Team of the caller.
    pub team: Option<&'a str>,
    /// Urgency, from 0 (most urgent) to 9.
    pub urgency: u8,
    /// Id of the last event that the caller has received, when this router resumes
    /// a stream.
    pub last_event: Option<&'a str>,
}

/// Whether an endpoint ran a request, according to its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutionStatus {
    /// The endpoint ran the request.
    Run,
    /// The endpoint was at capacity and did not run the request.
    Full,
    /// Another endpoint has this address and did not run the request.
    Misdirected,
}

/// Translates between a deployment's protocol and the relay.
pub trait ProtocolAdapter: Send + Sync {
    /// Parses a request's header.
    ///
    /// # Errors
    ///
    /// Returns the name of the header field that is missing or invalid.
    fn parse_head(&self, headers: &HeaderMap) -> Result<RequestHead, &'static str>;

    /// Rewrites a caller's headers for an endpoint.
    fn prepare_forward(&self, headers: &mut HeaderMap, context: &ForwardContext<'_>);

    /// Returns the name of the header in which an endpoint echoes the request's
    /// id.
    fn request_id_header(&self) -> HeaderName;

    /// Returns whether an endpoint ran the request that it answered.
    fn execution_status(&self, status: StatusCode, headers: &HeaderMap) -> ExecutionStatus;

    /// Returns what an answer says about further requests to its endpoint. Removes the
    /// headers that only concern this router.
    fn take_notice(&self, status: StatusCode, headers: &mut HeaderMap) -> EndpointNotice;

    /// Returns the value of the header `Retry-After`.
    fn retry_after_value(&self, after: Duration) -> HeaderValue;

    /// Decodes a published route table.
    ///
    /// # Errors
    ///
    /// Returns the reason, which is logged.
    fn decode_table(&self, source: &[u8]) -> Result<RouteTable, String>;
}

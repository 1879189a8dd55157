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
    pub most_output: Tokens,
}

impl TokenCounts {
    /// Returns the upper bound of what the request may use.
    pub fn most(&self) -> Tokens {
        self.prompt.saturating_add(self.most_output)
    }
}

/// What a request's header says.
#[derive(Clone, Debug)]
pub struct Facts {
    /// Id of this request, repeated by the endpoint in its answer.
    pub id: HeaderValue,
    /// How long the caller will wait.
    pub patience: Option<Duration>,
    /// Key of the caller.
    pub key: Option<String>,
    /// Parts of the prompt, in order; empty for a plain request.
    pub prompt: Vec<PromptPart>,
    /// Declared token counts of a model request.
    pub tokens: Option<TokenCounts>,
}

/// What an endpoint is told besides the caller's own request.
#[derive(Clone, Copy, Debug)]
pub struct HandOff<'a> {
    /// Time that is left.
    pub left: Duration,
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
pub enum Verdict {
    /// The request was run.
    Run,
    /// The endpoint had no room and did not run it.
    Full,
    /// Another endpoint has the address and did not run it.
    Misdirected,
}

/// Translates between a deployment and the relay.
pub trait Dialect: Send + Sync {
    /// Reads a request's header.
    ///
    /// # Errors
    ///
    /// The name of the field that is missing or can't be read.
    fn facts(&self, headers: &HeaderMap) -> Result<Facts, &'static str>;

    /// Turns a caller's header into one for an endpoint.
    fn hand_off(&self, headers: &mut HeaderMap, to: &HandOff<'_>);

    /// Returns the header in which an endpoint repeats the request's id.
    fn echo(&self) -> HeaderName;

    /// Reads what an endpoint's answer says about the run.
    fn verdict(&self, status: StatusCode, headers: &HeaderMap) -> Verdict;

    /// Returns the value of `Retry-After`.
    fn retry_after(&self, after: Duration) -> HeaderValue;

    /// Decodes a published route table.
    ///
    /// # Errors
    ///
    /// The reason, for the log.
    fn table(&self, source: &[u8]) -> Result<RouteTable, String>;
}

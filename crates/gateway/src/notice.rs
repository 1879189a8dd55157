//! Headers by which endpoints say whether they want further requests.

use std::time::Duration;

use anvilloft_types::RequestNo;
use anvilloft_types::availability::EndpointNotice;
use http::HeaderMap;
use http::StatusCode;
use http::header;

use crate::api::Api;
use crate::client::EndpointResponse;
use crate::core_handle::CoreMsg;

/// Header in each answer of an endpoint that is leaving, with the value 1.
pub const LEAVING_HEADER: &str = "x-anvilloft-leaving";

/// Returns the elements of a list header that may be sent on several lines.
fn elements<'a>(headers: &'a HeaderMap, name: &str) -> impl Iterator<Item = &'a str> {
    let lines = headers.get_all(name).into_iter();
    lines
        .filter_map(|line| line.to_str().ok())
        .flat_map(|line| line.split(','))
        .map(str::trim)
}

/// Parses a number of seconds, with or without a fraction. A number that is too large
/// counts as the largest.
fn parse_seconds(text: &str) -> Option<Duration> {
    let is_number = text.starts_with(|c: char| c.is_ascii_digit())
        && text.chars().all(|c| c.is_ascii_digit() || c == '.');
    let seconds = text.parse::<f64>().ok().filter(|_| is_number)?;
    Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
}

/// Returns what an answer says about further requests to its endpoint. `leaving_header`
/// is the name of the header by which endpoints say that they leave.
///
/// Only a 503 asks for a pause, by `Retry-After` in seconds (RFC 9110, 10.2.3; fractions
/// count). Of several values the longest holds. Dates are ignored, as the clocks of
/// endpoint and router may differ.
pub fn endpoint_notice(
    status: StatusCode,
    headers: &HeaderMap,
    leaving_header: &str,
) -> EndpointNotice {
    let leaving = elements(headers, leaving_header).any(|value| value == "1");
    let pause = match status {
        StatusCode::SERVICE_UNAVAILABLE => {
            let values = elements(headers, header::RETRY_AFTER.as_str());
            values.filter_map(parse_seconds).max()
        }
        _ => None,
    };
    EndpointNotice { leaving, pause }
}

/// Tells the control thread what the answer to a request says about further requests to
/// its endpoint. Must precede the report of the attempt's end.
pub(crate) fn report(api: &Api, no: RequestNo, response: &EndpointResponse) {
    let notice = endpoint_notice(response.status, &response.headers, LEAVING_HEADER);
    if !notice.is_empty() {
        api.metrics.record_notice(notice);
        api.core.post(CoreMsg::Notice(no, notice));
    }
}

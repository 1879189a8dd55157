//! Detection of crashed endpoints, and refusal of the requests that crash them.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;

use anvilloft_dispatch::BrokenRequest;
use anvilloft_dispatch::CrashWatch;
use anvilloft_dispatch::CrashedEndpoint;
use anvilloft_dispatch::PromptPart;
use anvilloft_dispatch::QuarantineList;
use anvilloft_dispatch::ReportedTrait;
use anvilloft_dispatch::RequestTraits;
use anvilloft_gateway::Refusal;
use anvilloft_routes::Team;
use anvilloft_types::lock;
use anvilloft_types::prelude::*;
use anvilloft_wire::command::Crash;
use anvilloft_wire::command::CrashedRequest;
use anvilloft_wire::command::Quarantined;
use anvilloft_wire::command::ReportCrashes;
use anvilloft_wire::command::RequestTrait;
use anvilloft_wire::control::LeaseGrant;
use http::request::Parts;
use tokio::net::TcpStream;

use crate::attempt::InFlightRequest;
use crate::state::RelayState;

/// Timeout of one attempt to connect to an endpoint that may have crashed. The host of
/// a dead process refuses the connection at once; a timeout proves nothing.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of attempts. A dying process closes its listener slightly after its
/// connections, so the first may be too early.
const MAX_PROBES: u32 = 4;
/// Pause between two attempts.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);
/// `Retry-After` of refusals of quarantined requests. A quarantine lasts much longer
/// than a caller waits.
const RETRY_AFTER_QUARANTINED: Duration = Duration::from_secs(60);

/// Records that the connection of a request broke off before its answer was whole, and
/// checks whether the endpoint has crashed. One that leaves may end with requests in flight.
pub(crate) fn record_broken(
    cx: &Arc<RelayState>,
    in_flight: &InFlightRequest,
    traits: &RequestTraits,
) {
    let pick = &in_flight.pick;
    let (endpoint, incarnation) = (pick.endpoint.clone(), pick.incarnation);
    cx.dispatcher()
        .connection_broke(cx.now(), &endpoint, incarnation);
    if cx.dispatcher().is_leaving(&endpoint, incarnation) {
        return;
    }
    let request = BrokenRequest {
        traits: traits.clone(),
        sent_on: in_flight.sent_on,
    };
    let must_check = lock(&cx.crashes).record_broken(cx.now(), &endpoint, incarnation, request);
    if !must_check {
        return;
    }
    let (cx, address) = (Arc::clone(cx), pick.address);
    tokio::spawn(async move {
        let crashed = is_refusing(address).await;
        if crashed {
            cx.metrics.endpoint_crashes.inc();
            slog::warn!(cx.log, "endpoint crashed"; "endpoint" => &endpoint,
                "incarnation" => incarnation);
        }
        lock(&cx.crashes).record_check(cx.now(), &endpoint, incarnation, crashed);
    });
}

/// Records that a request was answered in full.
pub(crate) fn record_answer(cx: &RelayState, traits: &RequestTraits) {
    lock(&cx.crashes).record_answer(cx.now(), traits);
}

/// Records that an endpoint goes on after the beginning of an answer.
pub(crate) fn record_progress(cx: &RelayState, traits: &RequestTraits) {
    lock(&cx.crashes).record_progress(cx.now(), traits);
}

/// Returns whether nobody listens at an address.
async fn is_refusing(address: SocketAddr) -> bool {
    for n in 0..MAX_PROBES {
        if n > 0 {
            tokio::time::sleep(PROBE_INTERVAL).await;
        }
        let connect = tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(address));
        if let Ok(Err(err)) = connect.await
            && err.kind() == ErrorKind::ConnectionRefused
        {
            return true;
        }
    }
    false
}

/// Returns the traits of a caller's request.
pub(crate) fn request_traits(
    head: &Parts,
    team: Option<&Team>,
    body: &[u8],
    prompt: &[PromptPart],
) -> RequestTraits {
    let path = head.uri.path_and_query().map_or("", |p| p.as_str());
    let team = team.map_or("", |t| t.name.as_str());
    let fields = [head.method.as_str(), path, team].map(str::as_bytes);
    let [method, path, team] = fields;
    RequestTraits::new(&[method, path, team, body], prompt)
}

/// Refuses a request that has a quarantined trait.
pub(crate) fn check_quarantine(cx: &RelayState, traits: &RequestTraits) -> Result<(), Refusal> {
    let Some(f) = lock(&cx.crashes).find_quarantined(traits).copied() else {
        return Ok(());
    };
    let fingerprint = u128::from_be_bytes(f);
    Err(Refusal::unavailable(
        "quarantined",
        format!(
            "endpoints crashed while running requests with the trait {fingerprint:032x}, \
             which are refused for some time"
        ),
    )
    .retry_after(RETRY_AFTER_QUARANTINED))
}

/// Leaves out fingerprints of a wrong length.
fn list_from_wire(fingerprints: &[Vec<u8>], version: Option<u64>) -> QuarantineList {
    let traits = fingerprints
        .iter()
        .filter_map(|f| Fingerprint::try_from(f.as_slice()).ok());
    QuarantineList {
        traits: traits.collect(),
        version,
    }
}

/// Takes the quarantined traits that a control member sent ahead of the next lease.
pub(crate) fn push_quarantined(cx: &RelayState, quarantined: &Quarantined) {
    let list = list_from_wire(&quarantined.fingerprints, quarantined.version);
    let mut watch = lock(&cx.crashes);
    if watch.push_quarantined(list) {
        record_quarantine(cx, &watch);
    }
}

/// Replaces the quarantined traits by those in a lease.
pub(crate) fn set_quarantined(cx: &RelayState, lease: &LeaseGrant) {
    let list = list_from_wire(&lease.quarantined, lease.quarantine_version);
    let mut watch = lock(&cx.crashes);
    if watch.set_quarantined(list) {
        record_quarantine(cx, &watch);
    }
}

fn record_quarantine(cx: &RelayState, watch: &CrashWatch) {
    let count = watch.quarantined_count();
    cx.metrics
        .quarantined_traits
        .set(i64::try_from(count).unwrap_or(i64::MAX));
    slog::info!(cx.log, "quarantine"; "traits" => count);
}

/// Returns the crashes to report that were noticed since the last call.
pub(crate) fn take_reports(cx: &RelayState) -> Vec<CrashedEndpoint> {
    lock(&cx.crashes).take_reports(cx.now())
}

/// Returns the command that reports crashes now.
pub(crate) fn report_to_wire(crashes: &[CrashedEndpoint], now: Duration) -> ReportCrashes {
    ReportCrashes {
        crashes: crashes.iter().map(|c| crash_to_wire(c, now)).collect(),
    }
}

fn crash_to_wire(crash: &CrashedEndpoint, now: Duration) -> Crash {
    let requests = crash.requests.iter().map(|r| CrashedRequest {
        whole: Some(trait_to_wire(&r.whole, now)),
        parts: r.parts.iter().map(|t| trait_to_wire(t, now)).collect(),
        prompt: r.prompt.to_vec(),
        sent_on: r.sent_on,
    });
    Crash {
        endpoint: crash.endpoint.clone(),
        endpoint_incarnation: crash.incarnation,
        requests: requests.collect(),
        age_ms: now.saturating_sub(crash.at).as_millis() as u64,
    }
}

fn trait_to_wire(t: &ReportedTrait, now: Duration) -> RequestTrait {
    let answer_age = t.answered_at.map(|at| now.saturating_sub(at));
    RequestTrait {
        fingerprint: t.fingerprint.to_vec(),
        answered: answer_age.is_some(),
        answered_lately: t.answered_lately,
        answer_age_ms: answer_age.map(|age| age.as_millis() as u64),
    }
}

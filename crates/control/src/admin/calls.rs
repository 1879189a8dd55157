//! Table of the API's calls.

/// Keys that may use a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// Operators only.
    Operator,
    /// Operators and read-only keys.
    Reader,
    /// Operators, read-only keys, and team keys, which see only their own
    /// team's data.
    Team,
}

/// Operation of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Operation {
    Status,
    Config,
    History,
    Orders,
    Routers,
    Endpoints,
    Members,
    AddMember,
    PromoteMember,
    ReplaceMember,
    RemoveMember,
    ChangeItems,
    ApplyFile,
    CreateKey,
    RotateKey,
    TopUp,
    Balances,
    Quarantines,
    ReleaseQuarantine,
    Evacuations,
    StartEvacuation,
    EndEvacuation,
    ListItems,
    GetItem,
    SetItem,
    DeleteItem,
}

/// One call of the API. A path segment in braces matches any value.
#[derive(Clone, Copy, Debug)]
pub struct CallSpec {
    /// HTTP method.
    pub method: &'static str,
    /// Pattern of the path.
    pub path: &'static str,
    /// Keys that may use the call.
    pub access: Access,
    pub(super) operation: Operation,
}

const fn call(
    method: &'static str,
    path: &'static str,
    access: Access,
    operation: Operation,
) -> CallSpec {
    CallSpec {
        method,
        path,
        access,
        operation,
    }
}

/// All calls. A request uses the first one that matches.
pub const CALLS: &[CallSpec] = &[
    call("GET", "/admin/v1/status", Access::Team, Operation::Status),
    call("GET", "/admin/v1/config", Access::Team, Operation::Config),
    call("GET", "/admin/v1/history", Access::Team, Operation::History),
    call("GET", "/admin/v1/orders", Access::Team, Operation::Orders),
    call(
        "GET",
        "/admin/v1/routers",
        Access::Reader,
        Operation::Routers,
    ),
    call(
        "GET",
        "/admin/v1/endpoints",
        Access::Reader,
        Operation::Endpoints,
    ),
    call(
        "GET",
        "/admin/v1/members",
        Access::Reader,
        Operation::Members,
    ),
    call(
        "POST",
        "/admin/v1/members",
        Access::Operator,
        Operation::AddMember,
    ),
    call(
        "POST",
        "/admin/v1/members/{id}/promote",
        Access::Operator,
        Operation::PromoteMember,
    ),
    call(
        "POST",
        "/admin/v1/members/{id}/replace",
        Access::Operator,
        Operation::ReplaceMember,
    ),
    call(
        "DELETE",
        "/admin/v1/members/{id}",
        Access::Operator,
        Operation::RemoveMember,
    ),
    call(
        "POST",
        "/admin/v1/changes",
        Access::Operator,
        Operation::ChangeItems,
    ),
    call(
        "POST",
        "/admin/v1/apply",
        Access::Operator,
        Operation::ApplyFile,
    ),
    call(
        "POST",
        "/admin/v1/keys",
        Access::Operator,
        Operation::CreateKey,
    ),
    call(
        "POST",
        "/admin/v1/keys/{name}/rotate",
        Access::Operator,
        Operation::RotateKey,
    ),
    call(
        "POST",
        "/admin/v1/budgets/{name}/topups",
        Access::Operator,
        Operation::TopUp,
    ),
    call(
        "GET",
        "/admin/v1/balances",
        Access::Reader,
        Operation::Balances,
    ),
    call(
        "GET",
        "/admin/v1/quarantines",
        Access::Reader,
        Operation::Quarantines,
    ),
    call(
        "DELETE",
        "/admin/v1/quarantines/{fingerprint}",
        Access::Operator,
        Operation::ReleaseQuarantine,
    ),
    call(
        "GET",
        "/admin/v1/evacuations",
        Access::Reader,
        Operation::Evacuations,
    ),
    call(
        "PUT",
        "/admin/v1/evacuations/{data_centre}",
        Access::Operator,
        Operation::StartEvacuation,
    ),
    call(
        "DELETE",
        "/admin/v1/evacuations/{data_centre}",
        Access::Operator,
        Operation::EndEvacuation,
    ),
    call(
        "GET",
        "/admin/v1/{kind}",
        Access::Team,
        Operation::ListItems,
    ),
    call(
        "GET",
        "/admin/v1/{kind}/{name}",
        Access::Team,
        Operation::GetItem,
    ),
    call(
        "GET",
        "/admin/v1/{kind}/{team}/{name}",
        Access::Team,
        Operation::GetItem,
    ),
    call(
        "PUT",
        "/admin/v1/{kind}/{name}",
        Access::Operator,
        Operation::SetItem,
    ),
    call(
        "PUT",
        "/admin/v1/{kind}/{team}/{name}",
        Access::Operator,
        Operation::SetItem,
    ),
    call(
        "DELETE",
        "/admin/v1/{kind}/{name}",
        Access::Operator,
        Operation::DeleteItem,
    ),
    call(
        "DELETE",
        "/admin/v1/{kind}/{team}/{name}",
        Access::Operator,
        Operation::DeleteItem,
    ),
];

/// Returns the matching call and the decoded values of its segments in braces.
pub(super) fn match_call(method: &str, path: &str) -> Option<(&'static CallSpec, Vec<String>)> {
    let same_method = |spec: &&'static CallSpec| spec.method == method;
    CALLS
        .iter()
        .filter(same_method)
        .find_map(|spec| Some((spec, match_path(spec.path, path)?)))
}

/// Returns the decoded values of the pattern's segments in braces if the path
/// matches.
fn match_path(pattern: &str, path: &str) -> Option<Vec<String>> {
    let mut values = Vec::new();
    let mut path = path.split('/');
    for expected in pattern.split('/') {
        let segment = path.next()?;
        if expected.starts_with('{') {
            // Names contain no `/`, so an encoded one is refused.
            values.push(percent_decode(segment).filter(|name| !name.contains('/'))?);
        } else if expected != segment {
            return None;
        }
    }
    path.next().is_none().then_some(values)
}

/// Decodes `%xx` sequences. Returns `None` when one is malformed, or when the
/// text is empty or not UTF-8.
pub(super) fn percent_decode(segment: &str) -> Option<String> {
    let mut out = Vec::with_capacity(segment.len());
    let mut bytes = segment.bytes();
    while let Some(b) = bytes.next() {
        if b != b'%' {
            out.push(b);
            continue;
        }
        let pair = [bytes.next()?, bytes.next()?];
        out.extend(hex::decode(pair).ok()?);
    }
    let text = String::from_utf8(out).ok()?;
    (!text.is_empty()).then_some(text)
}

//! The table of calls.

/// Who may use a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// Operators only.
    Operator,
    /// Operators and read-only keys.
    Reader,
    /// Also team keys, which get their own team's data.
    Team,
}

/// What a call does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Run {
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
    Change,
    Apply,
    MakeKey,
    RotateKey,
    TopUp,
    List,
    Get,
    Set,
    Delete,
}

/// One call of the API. A segment in braces takes any value.
#[derive(Clone, Copy, Debug)]
pub struct CallSpec {
    /// HTTP method.
    pub method: &'static str,
    /// Path.
    pub path: &'static str,
    /// Who may use it.
    pub access: Access,
    pub(super) run: Run,
}

const fn call(method: &'static str, path: &'static str, access: Access, run: Run) -> CallSpec {
    CallSpec {
        method,
        path,
        access,
        run,
    }
}

/// Every call. The first that fits is used.
pub const CALLS: &[CallSpec] = &[
    call("GET", "/admin/v1/status", Access::Team, Run::Status),
    call("GET", "/admin/v1/config", Access::Team, Run::Config),
    call("GET", "/admin/v1/history", Access::Team, Run::History),
    call("GET", "/admin/v1/orders", Access::Team, Run::Orders),
    call("GET", "/admin/v1/routers", Access::Reader, Run::Routers),
    call("GET", "/admin/v1/endpoints", Access::Reader, Run::Endpoints),
    call("GET", "/admin/v1/members", Access::Reader, Run::Members),
    call(
        "POST",
        "/admin/v1/members",
        Access::Operator,
        Run::AddMember,
    ),
    call(
        "POST",
        "/admin/v1/members/{id}/promote",
        Access::Operator,
        Run::PromoteMember,
    ),
    call(
        "POST",
        "/admin/v1/members/{id}/replace",
        Access::Operator,
        Run::ReplaceMember,
    ),
    call(
        "DELETE",
        "/admin/v1/members/{id}",
        Access::Operator,
        Run::RemoveMember,
    ),
    call("POST", "/admin/v1/changes", Access::Operator, Run::Change),
    call("POST", "/admin/v1/apply", Access::Operator, Run::Apply),
    call("POST", "/admin/v1/keys", Access::Operator, Run::MakeKey),
    call(
        "POST",
        "/admin/v1/keys/{name}/rotate",
        Access::Operator,
        Run::RotateKey,
    ),
    call(
        "POST",
        "/admin/v1/budgets/{name}/topups",
        Access::Operator,
        Run::TopUp,
    ),
    call("GET", "/admin/v1/{kind}", Access::Team, Run::List),
    call("GET", "/admin/v1/{kind}/{name}", Access::Team, Run::Get),
    call(
        "GET",
        "/admin/v1/{kind}/{team}/{name}",
        Access::Team,
        Run::Get,
    ),
    call("PUT", "/admin/v1/{kind}/{name}", Access::Operator, Run::Set),
    call(
        "PUT",
        "/admin/v1/{kind}/{team}/{name}",
        Access::Operator,
        Run::Set,
    ),
    call(
        "DELETE",
        "/admin/v1/{kind}/{name}",
        Access::Operator,
        Run::Delete,
    ),
    call(
        "DELETE",
        "/admin/v1/{kind}/{team}/{name}",
        Access::Operator,
        Run::Delete,
    ),
];

/// Finds the call and the values of the segments in braces.
pub(super) fn find(method: &str, path: &str) -> Option<(&'static CallSpec, Vec<String>)> {
    let fits = |spec: &&'static CallSpec| spec.method == method;
    CALLS
        .iter()
        .filter(fits)
        .find_map(|spec| Some((spec, values(spec.path, path)?)))
}

fn values(pattern: &str, path: &str) -> Option<Vec<String>> {
    let mut values = Vec::new();
    let mut path = path.split('/');
    for want in pattern.split('/') {
        let got = path.next()?;
        if want.starts_with('{') {
            // Names hold no `/`, so an encoded one is refused.
            values.push(decode(got).filter(|name| !name.contains('/'))?);
        } else if want != got {
            return None;
        }
    }
    path.next().is_none().then_some(values)
}

/// Decodes `%xx`.
pub(super) fn decode(segment: &str) -> Option<String> {
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

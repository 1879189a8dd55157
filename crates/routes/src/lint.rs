//! Checks of a route table before it is published, and its differences from another one.
//!
//! A finding names the entries that it concerns, and never a key of a team.

use std::fmt;

use anvilloft_types::prelude::*;

use crate::Route;
use crate::RouteKind;
use crate::RouteTable;
use crate::Team;

/// Usual number of bytes that a token of a prompt takes in a request body.
const BYTES_PER_TOKEN: u64 = 4;

/// How severe a finding is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// The configuration can't be published or can't work as written.
    Error,
    /// The configuration has an entry without effect, or settings that contradict each
    /// other.
    Warning,
    /// The entry may be intended, such as a target of weight 0 that is being drained.
    Note,
}

impl Severity {
    /// Returns the name for output.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Error => "error",
            Self::Warning => "warning",
            Self::Note => "note",
        }
    }
}

/// One finding of a check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Severity.
    pub severity: Severity,
    /// Name of the rule.
    pub rule: &'static str,
    /// Entries that the finding concerns, such as `route "a"`.
    pub entries: Vec<String>,
    /// What is wrong.
    pub message: String,
}

impl Finding {
    /// Returns a finding of severity error, for tables that can't be built.
    pub fn invalid(message: String) -> Self {
        Self {
            severity: Severity::Error,
            rule: "invalid",
            entries: Vec::new(),
            message,
        }
    }

    fn note(rule: &'static str, entries: Vec<String>, message: &str) -> Self {
        Self {
            severity: Severity::Note,
            ..Self::warning(rule, entries, message)
        }
    }

    fn warning(rule: &'static str, entries: Vec<String>, message: &str) -> Self {
        Self {
            severity: Severity::Warning,
            rule,
            entries,
            message: message.to_owned(),
        }
    }
}

fn route_entry(route: &Route) -> String {
    format!("route \"{}\"", route.name)
}

fn service_entry(name: &str) -> String {
    format!("service \"{name}\"")
}

fn team_entry(name: &str) -> String {
    format!("team \"{name}\"")
}

/// Checks a valid table. Returns the findings in the order of its entries.
pub fn check(table: &RouteTable) -> Vec<Finding> {
    let mut findings = Vec::new();
    for route in table.routes() {
        check_matches(table, route, &mut findings);
        check_route(route, &mut findings);
    }
    check_services(table, &mut findings);
    for team in table.teams() {
        check_team(table, team, &mut findings);
    }
    check_limits(table, &mut findings);
    findings
}

/// Reports a route that no request can reach.
fn check_matches(table: &RouteTable, route: &Route, findings: &mut Vec<Finding>) {
    // The host of a request is compared without its port.
    if route.host.is_empty() || route.host.contains([':', '/', '*']) {
        let message = "the host is no host name, so no request matches";
        findings.push(Finding::warning(
            "unmatched-host",
            vec![route_entry(route)],
            message,
        ));
    } else if route.prefix.contains(['?', '#']) {
        let message = "the path prefix contains a query or fragment, so no request matches";
        findings.push(Finding::warning(
            "unmatched-prefix",
            vec![route_entry(route)],
            message,
        ));
    }
    let same_name = table.routes().iter().filter(|r| r.name == route.name);
    let first = table.routes().iter().find(|r| r.name == route.name);
    if same_name.count() > 1 && first == Some(route) {
        let message = "several routes have this name, so logs can't tell them apart";
        findings.push(Finding::warning(
            "duplicate-route-name",
            vec![route_entry(route)],
            message,
        ));
    }
}

/// Reports settings of a route that contradict each other.
fn check_route(route: &Route, findings: &mut Vec<Finding>) {
    let mut warn = |rule, message: &str| {
        findings.push(Finding::warning(rule, vec![route_entry(route)], message));
    };
    if route.objective > route.timeout {
        warn(
            "objective-above-timeout",
            "the latency objective exceeds the timeout",
        );
    }
    if let RouteKind::Stream { max_gap, .. } = route.kind
        && max_gap > route.timeout
    {
        warn(
            "pause-above-timeout",
            "the longest pause exceeds the timeout",
        );
    }
    if route.max_endpoints == 0 {
        warn("no-attempts", "0 attempts count as 1");
    }
    let mut services: Vec<&str> = route.targets.iter().map(|t| t.service.as_str()).collect();
    services.sort_unstable();
    if services.windows(2).any(|w| w[0] == w[1]) {
        warn("repeated-target", "a service is a target more than once");
    }
    for target in route.targets.iter().filter(|t| t.weight == 0) {
        findings.push(Finding::note(
            "zero-weight",
            vec![route_entry(route), service_entry(&target.service)],
            "the target has weight 0 and gets no requests",
        ));
    }
}

fn check_services(table: &RouteTable, findings: &mut Vec<Finding>) {
    let max_body = u64::try_from(table.limits().max_body_bytes).unwrap_or(u64::MAX);
    for service in table.services() {
        let mut warn = |rule, message: &str| {
            let entries = vec![service_entry(&service.name)];
            findings.push(Finding::warning(rule, entries, message));
        };
        let mut targets = table.routes().iter().flat_map(|r| &r.targets);
        if !targets.any(|t| t.service == service.name && t.weight > 0) {
            warn("unused-service", "no route sends requests to the service");
        }
        let Some(engine) = service.engine else {
            continue;
        };
        if engine.slots == 0 {
            warn("no-slots", "the engines have no slots");
        }
        if engine.memory == 0 {
            warn("no-memory", "the engines have no memory for prompts");
        }
        if service.max_connections > 0 && service.max_connections < engine.slots {
            warn(
                "slots-above-connections",
                "an engine accepts fewer connections than it has slots",
            );
        }
        if engine.memory.saturating_mul(BYTES_PER_TOKEN) > max_body {
            findings.push(Finding::note(
                "body-limit-below-prompts",
                vec!["limits".to_owned(), service_entry(&service.name)],
                "a prompt that fits into an engine's memory may exceed the body limit",
            ));
        }
    }
}

fn check_team(table: &RouteTable, team: &Team, findings: &mut Vec<Finding>) {
    let mut warn = |rule, message: &str| {
        findings.push(Finding::warning(
            rule,
            vec![team_entry(&team.name)],
            message,
        ));
    };
    if team.keys.is_empty() {
        warn("team-without-key", "no caller can use a team without a key");
    }
    if team
        .keys
        .iter()
        .any(|key| key.trim() != key || key.is_empty())
    {
        warn(
            "unusable-key",
            "a key is empty or begins or ends with a space, so no header carries it",
        );
    }
    let mut keys: Vec<&String> = team.keys.iter().collect();
    keys.sort_unstable();
    if keys.windows(2).any(|w| w[0] == w[1]) {
        warn("repeated-key", "a key is listed more than once");
    }
    if team.prepaid == Some(0) && table.services().iter().any(|s| s.engine.is_some()) {
        findings.push(Finding::note(
            "no-tokens",
            vec![team_entry(&team.name)],
            "the team has no prepaid tokens",
        ));
    }
}

fn check_limits(table: &RouteTable, findings: &mut Vec<Finding>) {
    let limits = table.limits();
    let mut warn = |rule, message: &str| {
        findings.push(Finding::warning(rule, vec!["limits".to_owned()], message));
    };
    if limits.idle_timeout < limits.header_timeout {
        warn(
            "idle-below-header-timeout",
            "idle connections close before the header timeout",
        );
    }
    let is_zero = limits.max_header_bytes == 0
        || limits.max_body_bytes == 0
        || limits.header_timeout.is_zero()
        || limits.idle_timeout.is_zero();
    if is_zero {
        warn("zero-limit", "a limit is 0, so that requests are refused");
    }
}

/// How an entry differs from the one in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Only the new table has the entry.
    Added,
    /// Only the old table has the entry.
    Removed,
    /// The entry differs.
    Changed,
}

impl Change {
    /// Returns the name for output.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Added => "added",
            Self::Removed => "removed",
            Self::Changed => "changed",
        }
    }
}

/// One difference between two tables.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    /// How the entry differs.
    pub change: Change,
    /// The entry.
    pub entry: String,
    /// Names of the fields that differ, of a changed entry.
    pub fields: Vec<&'static str>,
}

/// A comparable field: its name and its value. Values are never printed.
type Field = (&'static str, String);

fn field(name: &'static str, value: impl fmt::Debug) -> Field {
    (name, format!("{value:?}"))
}

fn route_fields(route: &Route) -> (String, Vec<Field>) {
    let key = format!("route \"{}\" ({}{})", route.name, route.host, route.prefix);
    let fields = vec![
        field("kind", route.kind),
        field("timeout", route.timeout),
        field("objective", route.objective),
        field("level", route.level),
        field("targets", &route.targets),
        field("max_endpoints", route.max_endpoints),
        field("anonymous", route.anonymous),
        field("allowed_regions", &route.allowed_regions),
    ];
    (key, fields)
}

fn all_fields(table: &RouteTable) -> Vec<(String, Vec<Field>)> {
    let mut all: Vec<_> = table.routes().iter().map(route_fields).collect();
    all.extend(table.services().iter().map(|service| {
        let fields = vec![
            field("max_connections", service.max_connections),
            field("engine", service.engine),
            field("cold", service.cold),
        ];
        (service_entry(&service.name), fields)
    }));
    all.extend(table.teams().iter().map(|team| {
        let mut keys = team.keys.clone();
        keys.sort_unstable();
        let fields = vec![
            field("keys", keys),
            field("level", team.level),
            field("prepaid", team.prepaid),
            field("allowed_regions", &team.allowed_regions),
        ];
        (team_entry(&team.name), fields)
    }));
    let limits = table.limits();
    let fields = vec![
        field("max_header_bytes", limits.max_header_bytes),
        field("max_body_bytes", limits.max_body_bytes),
        field("header_timeout", limits.header_timeout),
        field("idle_timeout", limits.idle_timeout),
    ];
    all.push(("limits".to_owned(), fields));
    all.sort();
    all
}

/// Returns the differences of `new` from `old`, sorted by entry. A version that isn't
/// higher is a finding of [`check_version`], not a difference.
pub fn differences(old: &RouteTable, new: &RouteTable) -> Vec<Difference> {
    let (old, new) = (all_fields(old), all_fields(new));
    let mut all = Vec::new();
    for (entry, fields) in &old {
        let found = new.binary_search_by(|(e, _)| e.cmp(entry)).ok();
        let difference = match found.and_then(|at| new.get(at)) {
            None => (Change::Removed, Vec::new()),
            Some((_, after)) if after != fields => {
                let pairs = fields.iter().zip(after).filter(|(a, b)| a != b);
                (Change::Changed, pairs.map(|(a, _)| a.0).collect())
            }
            Some(_) => continue,
        };
        all.push((entry.clone(), difference));
    }
    for (entry, _) in &new {
        if old.binary_search_by(|(e, _)| e.cmp(entry)).is_err() {
            all.push((entry.clone(), (Change::Added, Vec::new())));
        }
    }
    all.sort_by(|a, b| a.0.cmp(&b.0));
    let to_difference = |(entry, (change, fields))| Difference {
        change,
        entry,
        fields,
    };
    all.into_iter().map(to_difference).collect()
}

/// Checks the version of a table against the one in force.
pub fn check_version(old: &RouteTable, new: &RouteTable) -> Option<Finding> {
    (new.version() <= old.version()).then(|| Finding {
        severity: Severity::Error,
        rule: "version-not-higher",
        entries: vec!["version".to_owned()],
        message: format!(
            "version {} is not above version {}, which is in force",
            new.version(),
            old.version()
        ),
    })
}

/// Checks the prepaid tokens against those in force: the amount is a sum of all that was
/// ever paid, so a lower one takes tokens away.
pub fn check_prepaid(old: &RouteTable, new: &RouteTable) -> Vec<Finding> {
    let prepaid = |table: &RouteTable, name: &str| -> Option<Tokens> {
        table.teams().iter().find(|t| t.name == name)?.prepaid
    };
    let mut findings = Vec::new();
    for team in new.teams() {
        let (before, after) = (prepaid(old, &team.name), team.prepaid);
        if before.is_some() && after.is_some() && after < before {
            findings.push(Finding::warning(
                "prepaid-lowered",
                vec![team_entry(&team.name)],
                "the prepaid tokens are below those in force",
            ));
        }
    }
    findings
}

//! The fleet-wide defaults: names, built-in values and permitted ranges.

use anvilloft_wire::config::Rank;

/// One fleet-wide default. The name ends in the unit of the value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DefaultSpec {
    /// Name, as used in changes and by [`crate::Config::value`].
    pub name: &'static str,
    /// Built-in value.
    pub value: u64,
    /// Smallest value that a change may set.
    pub min: u64,
    /// Largest value that a change may set.
    pub max: u64,
    /// Whether a team may have an exception from the default.
    pub per_team: bool,
    /// Description for operators.
    pub help: &'static str,
}

const SECOND: u64 = 1_000;
const MINUTE: u64 = 60 * SECOND;
const HOUR: u64 = 60 * MINUTE;
const DAY: u64 = 24 * HOUR;

// Returns a default that is the same for all teams.
const fn fleet_default(
    name: &'static str,
    value: u64,
    min: u64,
    max: u64,
    help: &'static str,
) -> DefaultSpec {
    DefaultSpec {
        name,
        value,
        min,
        max,
        per_team: false,
        help,
    }
}

// Returns a default from which a team may have an exception.
const fn team_default(
    name: &'static str,
    value: u64,
    min: u64,
    max: u64,
    help: &'static str,
) -> DefaultSpec {
    DefaultSpec {
        name,
        value,
        min,
        max,
        per_team: true,
        help,
    }
}

/// Every default, sorted by name.
pub const DEFAULTS: &[DefaultSpec] = &[
    fleet_default(
        "allotment_idle_ms",
        10 * SECOND,
        SECOND,
        HOUR,
        "A router returns an allotment that was not drawn on for this long.",
    ),
    fleet_default(
        "change_id_keep_ms",
        DAY,
        HOUR,
        7 * DAY,
        "How long the answer to a configuration change is kept for a resent change.",
    ),
    fleet_default(
        "condemn_ms",
        HOUR,
        MINUTE,
        7 * DAY,
        "How long a request that crashed two endpoints, or a part of prompts that crashed several, is refused.",
    ),
    // The maximum keeps the total delay of a configuration change under 4 s.
    fleet_default(
        "config_lease_ms",
        3 * SECOND,
        500,
        3_500,
        "Length of a configuration lease. A change is in force everywhere after this time.",
    ),
    fleet_default(
        "drain_limit_ms",
        15 * MINUTE,
        SECOND,
        DAY,
        "Longest time that a stopping router waits for requests in flight.",
    ),
    fleet_default(
        "incarnation_keep_ms",
        7 * DAY,
        HOUR,
        30 * DAY,
        "How long a closed router incarnation is remembered for late settlements.",
    ),
    fleet_default(
        "keep_ms",
        10 * SECOND,
        SECOND,
        10 * MINUTE,
        "How long a caller may keep an entry answer.",
    ),
    fleet_default(
        "lease_renew_ms",
        SECOND,
        100,
        3 * SECOND,
        "Interval at which a router renews its configuration lease.",
    ),
    fleet_default(
        "order_keep_ms",
        7 * DAY,
        HOUR,
        30 * DAY,
        "How long the record of a non-idempotent order is kept after its last change.",
    ),
    fleet_default(
        "peer_flush_ms",
        30 * SECOND,
        SECOND,
        HOUR,
        "Hold of a dead router's allotments, during which the copy holder delivers its settlements.",
    ),
    fleet_default(
        "placement_lease_ms",
        5 * SECOND,
        SECOND,
        MINUTE,
        "A new leader waits this long before it orders endpoints that ignore fencing numbers.",
    ),
    // Limits the rate of model loads to what the weight store can serve.
    fleet_default(
        "placement_load_spacing_ms",
        0,
        0,
        MINUTE,
        "Time between two model loads that the control leader orders; 0 turns placement off.",
    ),
    fleet_default(
        "placement_token_gap_ms",
        31,
        1,
        SECOND,
        "Time between tokens that placement expects of one request at an engine.",
    ),
    fleet_default(
        "recall_wait_ms",
        300,
        0,
        5 * SECOND,
        "How long a grant waits for recalled allotments before it is refused.",
    ),
    fleet_default(
        "request_key_keep_ms",
        DAY,
        HOUR,
        7 * DAY,
        "How long a billed request key is remembered.",
    ),
    // Network partitions between regions may last an hour, and the hold must be
    // longer.
    fleet_default(
        "settle_hold_ms",
        2 * HOUR,
        MINUTE,
        7 * DAY,
        "How long a lost router's allotments stay frozen for late settlements.",
    ),
    team_default(
        "small_budget_tokens",
        100_000,
        0,
        1 << 40,
        "Below this unspent amount grants have the exact size of the need.",
    ),
    team_default(
        "stream_limit_ms",
        10 * MINUTE,
        SECOND,
        6 * HOUR,
        "Longest duration of one request.",
    ),
    fleet_default(
        "top_up_id_keep_ms",
        7 * DAY,
        HOUR,
        90 * DAY,
        "How long the id of a top-up is remembered.",
    ),
    team_default(
        "urgent_share_percent",
        50,
        0,
        100,
        "Largest share of urgent work that one team gets while others wait.",
    ),
];

/// Returns the default with a name.
pub fn default_spec(name: &str) -> Option<&'static DefaultSpec> {
    DEFAULTS
        .binary_search_by(|d| d.name.cmp(name))
        .ok()
        .and_then(|i| DEFAULTS.get(i))
}

/// Returns the ranks of revision 0, before any configuration change.
pub(crate) fn built_in_ranks() -> [Rank; 3] {
    let rank = |name: &str, level, floor_percent, queue_ms| Rank {
        name: name.into(),
        level,
        weight: 1,
        floor_percent,
        queue_ms,
    };
    [
        rank("low", 2, 5, 30_000),
        rank("normal", 1, 10, 8_000),
        rank("urgent", 0, 0, 2_000),
    ]
}

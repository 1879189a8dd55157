//! Settings of `anvilloft-control`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use crate::Fault;
use crate::GroupStart;
use crate::LogFormat;
use crate::LogLevel;
use crate::Secret;
use crate::declare::settings;

settings! {
    /// Settings of the control daemon.
    ControlSettings, ControlSettingsBuilder {
        /// Name of this control member, unique in the fleet.
        name: String = ["control", "name", "", None, 1, 64],
        /// Data centre of this host.
        data_centre: String = ["control", "data_centre", "", None, 1, 64],
        /// Folder for everything that must survive a restart.
        data_folder: PathBuf = ["control", "data_folder", "", None, 0, 0],
        /// Address on which other control members and routers are served.
        peer_listen: SocketAddr = ["control", "peer_listen", "", None, 0, 0],
        /// Address announced to peers; empty for `peer_listen`.
        peer_address: Option<SocketAddr> = ["control", "peer_address", "", Some(""), 0, 0],
        /// Address of the administration API, /metrics, /healthz and /readyz.
        admin_listen: SocketAddr = ["control", "admin_listen", "", None, 0, 0],
        /// What to do with an empty data folder: join or new.
        /// Set new on the first member of a new group only, for its first start only.
        group: GroupStart = ["control", "group", "", Some("join"), 0, 0],
        /// Whether this member asks the members in section `peers` to add it to their group, and
        /// asks again when it was removed; otherwise an operator adds it.
        auto_join: bool = ["control", "auto_join", "", Some("no"), 0, 0],
        /// Whether the data folder must deny access to group and others. Set no only where the file
        /// system has no permission modes.
        private_folder: bool = ["control", "private_folder", "", Some("yes"), 0, 0],
        /// Time that the first member of a new group waits for an answer from every other member.
        /// Without it a host that lost its disk could start a second group beside the first.
        group_wait: Duration = ["control", "group_wait_ms", "ms", Some("30000"), 100, 600_000],
        /// Peer addresses of control members known at startup; this one may be among them.
        peers: Vec<SocketAddr> = ["peers", "control", "", Some(""), 0, 7],
        /// Interval between heartbeats of the leader.
        heartbeat: Duration = ["consensus", "heartbeat_ms", "ms", Some("50"), 5, 10_000],
        /// Minimum election timeout.
        election_min: Duration = ["consensus", "election_min_ms", "ms", Some("300"), 20, 60_000],
        /// Maximum election timeout.
        election_max: Duration = ["consensus", "election_max_ms", "ms", Some("600"), 20, 120_000],
        /// Minimum timeout of the first election after a start of this member. It may be shorter
        /// than election_min_ms: members in contact with a leader reject the election.
        first_election: Duration = ["consensus", "first_election_ms", "ms", Some("300"), 20, 60_000],
        /// Size of the log after which a snapshot is taken.
        snapshot_log_bytes: u64 = ["consensus", "snapshot_log_bytes", "bytes", Some("67108864"), 65_536, 1_073_741_824],
        /// Log entries before a snapshot that stay in memory for members that lag slightly.
        trailing_entries: u64 = ["consensus", "trailing_entries", "entries", Some("1024"), 16, 1_000_000],
        /// Maximum number of open connections to the administration API.
        admin_connections: u64 = ["limits", "admin_connections", "connections", Some("256"), 1, 65_536],
        /// Maximum size of the body of an administration request.
        admin_body_bytes: u64 = ["limits", "admin_body_bytes", "bytes", Some("1048576"), 1024, 3_145_728],
        /// Time that an administration request waits for the group.
        admin_timeout: Duration = ["limits", "admin_timeout_ms", "ms", Some("5000"), 100, 60_000],
        /// Maximum number of open peer sessions.
        peer_sessions: u64 = ["limits", "peer_sessions", "sessions", Some("1024"), 8, 65_536],
        /// Maximum number of calls from peers that run at once.
        peer_calls: u64 = ["limits", "peer_calls", "calls", Some("4096"), 8, 1_000_000],
        /// Time that a planned stop waits for calls in flight.
        stop_limit: Duration = ["limits", "stop_limit_ms", "ms", Some("10000"), 100, 600_000],
        /// Lowest level that is logged: error, warning, info or debug.
        log_level: LogLevel = ["log", "level", "", Some("info"), 0, 0],
        /// Format of log lines: json or terminal.
        log_format: LogFormat = ["log", "format", "", Some("json"), 0, 0],
        /// Maximum number of queued log lines; further lines are dropped and counted.
        log_queue: u64 = ["log", "queue_lines", "lines", Some("8192"), 64, 1_048_576],
        /// File with the fleet key, at least 32 bytes, without access for group and others.
        fleet_key: Secret = ["key", "fleet_file", "", None, 0, 0],
        /// File with the SHA-256 of the first operator key, as `anvilloft bootstrap` writes it.
        /// Empty for none. The key keeps the operator role for as long as the setting is there.
        operator_hash_file: Option<PathBuf> = ["key", "operator_hash_file", "", Some(""), 0, 0],
    }
}

impl ControlSettings {
    /// Returns the address that is announced to peers.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address.unwrap_or(self.peer_listen)
    }

    fn check(&self, file: &str, faults: &mut Vec<Fault>) {
        let mut fault = |section: &str, key: &str, message: &str| {
            faults.push(Fault {
                file: file.to_owned(),
                section: section.to_owned(),
                key: key.to_owned(),
                message: message.to_owned(),
            });
        };
        if self.peer_address().ip().is_unspecified() {
            fault(
                "control",
                "peer_address",
                "must be given when peer_listen names no host",
            );
        }
        if self.admin_listen == self.peer_listen && self.admin_listen.port() != 0 {
            fault("control", "admin_listen", "is the same as peer_listen");
        }
        if self.election_min < self.heartbeat * 3 {
            // Two lost heartbeats in a row must not start an election.
            fault(
                "consensus",
                "election_min_ms",
                "must be at least 3 times heartbeat_ms",
            );
        }
        if self.election_max < self.election_min * 3 / 2 {
            // In a narrower range members would start elections at the same time.
            fault(
                "consensus",
                "election_max_ms",
                "must be at least 1.5 times election_min_ms",
            );
        }
    }
}

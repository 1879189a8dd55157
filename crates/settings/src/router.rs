//! Settings of `anvilloft-router`.

use std::net::SocketAddr;
use std::time::Duration;

use crate::Fault;
use crate::LogFormat;
use crate::LogLevel;
use crate::Secret;
use crate::declare::settings;

settings! {
    /// Settings of the router daemon.
    RouterSettings, RouterSettingsBuilder {
        /// Name of this router, unique in the fleet.
        name: String = ["router", "name", "", None, 1, 64],
        /// Data centre of this host.
        data_centre: String = ["router", "data_centre", "", None, 1, 64],
        /// Address on which callers are served.
        caller_listen: SocketAddr = ["router", "caller_listen", "", None, 0, 0],
        /// Address announced to callers; empty for `caller_listen`.
        caller_address: Option<SocketAddr> = ["router", "caller_address", "", Some(""), 0, 0],
        /// Address on which other routers and control members are served.
        peer_listen: SocketAddr = ["router", "peer_listen", "", None, 0, 0],
        /// Address announced to peers; empty for `peer_listen`.
        peer_address: Option<SocketAddr> = ["router", "peer_address", "", Some(""), 0, 0],
        /// Worker threads that serve traffic.
        threads: u64 = ["router", "threads", "threads", Some("2"), 1, 256],
        /// Peer addresses of the control members.
        control: Vec<SocketAddr> = ["peers", "control", "", None, 1, 7],
        /// Peer addresses of routers known at startup; others are discovered.
        routers: Vec<SocketAddr> = ["peers", "routers", "", Some(""), 0, 4096],
        /// Maximum size of a request body.
        max_body_bytes: u64 = ["limits", "max_body_bytes", "bytes", Some("4194304"), 1024, 268_435_456],
        /// Maximum size of an endpoint's answer that is buffered as a whole.
        max_answer_bytes: u64 = ["limits", "max_answer_bytes", "bytes", Some("33554432"), 1024, 268_435_456],
        /// Maximum number of queued requests in total.
        queue_total: u64 = ["limits", "queue_total", "requests", Some("8192"), 1, 1_000_000],
        /// Maximum number of queued requests of one team in one rank.
        queue_team: u64 = ["limits", "queue_team", "requests", Some("256"), 1, 1_000_000],
        /// Maximum number of requests that wait for a grant of tokens.
        grant_wait_requests: u64 = ["limits", "grant_wait_requests", "requests", Some("8192"), 1, 1_000_000],
        /// Maximum number of requests of one team that wait for a grant of tokens.
        grant_wait_team_requests: u64 = ["limits", "grant_wait_team_requests", "requests", Some("1024"), 1, 1_000_000],
        /// Maximum number of open connections of callers.
        max_connections: u64 = ["limits", "max_connections", "connections", Some("8192"), 1, 1_000_000],
        /// Timeout for a request's header, for a pause in its body and for an idle connection.
        header_read: Duration = ["limits", "header_read_ms", "ms", Some("10000"), 100, 600_000],
        /// Timeout for a caller that reads nothing of its answer.
        write_stall: Duration = ["limits", "write_stall_ms", "ms", Some("30000"), 100, 600_000],
        /// Timeout for connecting to an endpoint.
        connect: Duration = ["limits", "connect_ms", "ms", Some("500"), 10, 60_000],
        /// Silence of a model engine after which another endpoint may take the request.
        first_byte_model: Duration = ["limits", "first_byte_model_ms", "ms", Some("30000"), 100, 600_000],
        /// Silence of a service after which another endpoint may take the call.
        first_byte_service: Duration = ["limits", "first_byte_service_ms", "ms", Some("5000"), 100, 600_000],
        /// Timeout between two chunks of an endpoint's answer.
        gap: Duration = ["limits", "gap_ms", "ms", Some("10000"), 100, 600_000],
        /// Time after which an idle connection to an endpoint is closed.
        idle: Duration = ["limits", "idle_ms", "ms", Some("5000"), 100, 600_000],
        /// Time after which a planned stop ends requests that still run.
        drain_limit: Duration = ["limits", "drain_limit_ms", "ms", Some("900000"), 1_000, 86_400_000],
        /// Lowest level that is logged: error, warning, info or debug.
        log_level: LogLevel = ["log", "level", "", Some("info"), 0, 0],
        /// Format of log lines: json or terminal.
        log_format: LogFormat = ["log", "format", "", Some("json"), 0, 0],
        /// Maximum number of queued log lines; further lines are dropped and counted.
        log_queue: u64 = ["log", "queue_lines", "lines", Some("8192"), 64, 1_048_576],
        /// File with the fleet key, at least 32 bytes, without access for group and others.
        fleet_key: Secret = ["key", "fleet_file", "", None, 0, 0],
        /// File with the key that authenticates announcements of endpoints.
        endpoint_key: Secret = ["key", "endpoint_file", "", None, 0, 0],
    }
}

impl RouterSettings {
    /// Returns the address that is announced to callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address.unwrap_or(self.caller_listen)
    }

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
        if self.caller_address().ip().is_unspecified() {
            fault(
                "router",
                "caller_address",
                "must be given when caller_listen names no host",
            );
        }
        if self.peer_address().ip().is_unspecified() {
            fault(
                "router",
                "peer_address",
                "must be given when peer_listen names no host",
            );
        }
        if self.caller_listen == self.peer_listen && self.peer_listen.port() != 0 {
            fault("router", "peer_listen", "is the same as caller_listen");
        }
        if self.queue_team > self.queue_total {
            fault("limits", "queue_team", "is larger than queue_total");
        }
        if self.grant_wait_team_requests > self.grant_wait_requests {
            fault(
                "limits",
                "grant_wait_team_requests",
                "is larger than grant_wait_requests",
            );
        }
        if self.fleet_key == self.endpoint_key {
            // Endpoints know the endpoint key. With the fleet key they could
            // impersonate a router.
            fault("key", "endpoint_file", "holds the fleet key");
        }
    }
}

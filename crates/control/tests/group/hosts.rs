//! Control hosts of a test: daemons on loopback addresses with real data
//! folders, and a plain HTTP client.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use anvilloft_control::ControlDaemon;
use anvilloft_control::DaemonError;
use anvilloft_control::admin::hash_secret;
use anvilloft_fakes::free_address;
use anvilloft_settings::ControlSettings;
use anvilloft_settings::GroupStart;
use anvilloft_settings::Secret;
use anvilloft_telemetry::Metrics;
use anvilloft_wire::session::Fleet;
use anvilloft_wire::session::FleetOptions;
use anvilloft_wire::session::Identity;
use anvilloft_wire::session::join_fleet;
use serde_json::Value;
use serde_json::json;
use slog::Discard;
use slog::Logger;
use slog::o;
use tempfile::TempDir;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::timeout;

pub(crate) const OPERATOR_KEY: &str = "root-secret";
const FLEET_KEY: &str = "0123456789abcdef0123456789abcdef";

pub(crate) struct Host {
    pub(crate) peer: SocketAddr,
    pub(crate) admin: SocketAddr,
    pub(crate) daemon: Option<ControlDaemon>,
    name: String,
    folder: PathBuf,
}

pub(crate) struct Hosts {
    pub(crate) hosts: Vec<Host>,
    /// Time for which a planned stop waits for calls in flight.
    pub(crate) stop_limit: Duration,
    dir: TempDir,
}

impl Hosts {
    /// Prepares hosts without starting their daemons.
    pub(crate) fn new(count: usize) -> Self {
        let dir = tempfile::tempdir().unwrap();
        fs::write(
            dir.path().join("operator.hash"),
            hex::encode(hash_secret(OPERATOR_KEY)),
        )
        .unwrap();
        let hosts = (0..count)
            .map(|i| Host {
                peer: free_address(),
                admin: free_address(),
                daemon: None,
                name: format!("c{i}"),
                folder: dir.path().join(format!("data{i}")),
            })
            .collect();
        Self {
            hosts,
            stop_limit: Duration::from_secs(2),
            dir,
        }
    }

    pub(crate) fn operator_hash(&self) -> PathBuf {
        self.dir.path().join("operator.hash")
    }

    pub(crate) fn folder(&self, i: usize) -> &PathBuf {
        &self.hosts[i].folder
    }

    pub(crate) async fn start(&mut self, i: usize, group: GroupStart) -> Result<(), DaemonError> {
        let host = &self.hosts[i];
        // All hosts use the same list, which includes their own address.
        let peers: Vec<SocketAddr> = self.hosts.iter().map(|h| h.peer).collect();
        let settings = ControlSettings::builder()
            .name(host.name.clone())
            .data_centre(format!("dc{i}"))
            .data_folder(host.folder.clone())
            .peer_listen(host.peer)
            .admin_listen(host.admin)
            .group(group)
            .group_wait(Duration::from_secs(2))
            .peers(peers)
            .stop_limit(self.stop_limit)
            .fleet_key(Secret::new(FLEET_KEY))
            .operator_hash_file(self.dir.path().join("operator.hash"))
            .build()
            .unwrap();
        let log = Logger::root(Discard, o!());
        let daemon = ControlDaemon::start(settings, Metrics::new().unwrap(), log).await?;
        self.hosts[i].daemon = Some(daemon);
        Ok(())
    }

    /// Starts all hosts and adds them to one group.
    pub(crate) async fn group(count: usize) -> Self {
        let mut hosts = Self::new(count);
        for i in 1..count {
            hosts.start(i, GroupStart::Join).await.unwrap();
        }
        hosts.start(0, GroupStart::New).await.unwrap();
        for i in 1..count {
            let id = hosts.id(i);
            let body = json!({ "id": id, "address": hosts.hosts[i].peer.to_string() });
            let (status, reply) = hosts.send(0, "POST", "/admin/v1/members", &body).await;
            assert_eq!(status, 200, "{reply}");
        }
        hosts.wait_for_voters(0, count).await;
        hosts
    }

    pub(crate) fn daemon(&self, i: usize) -> &ControlDaemon {
        self.hosts[i].daemon.as_ref().unwrap()
    }

    pub(crate) fn id(&self, i: usize) -> String {
        format!("{:016x}", self.daemon(i).member_id())
    }

    /// Starts the sessions of a router that is configured with one of the
    /// hosts.
    pub(crate) fn router(&self, name: &str, host: usize) -> Fleet {
        let identity = Identity::new(name, "router", "dc0", Secret::new(FLEET_KEY));
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let mut options = FleetOptions::new(identity, listener);
        options.control = vec![self.hosts[host].peer];
        join_fleet(options, &Logger::root(Discard, o!())).unwrap()
    }

    /// Stops the daemon of a host without notice.
    pub(crate) async fn kill(&mut self, i: usize) {
        self.hosts[i].daemon.take().unwrap().kill().await.unwrap();
    }

    /// Waits for a leader and returns its host.
    pub(crate) async fn leader(&self) -> usize {
        let deadline = Instant::now() + Duration::from_secs(10);
        loop {
            let leads = |h: &Host| {
                h.daemon
                    .as_ref()
                    .is_some_and(|d| d.handle().status().borrow().is_leader)
            };
            if let Some(i) = self.hosts.iter().position(leads) {
                return i;
            }
            assert!(Instant::now() < deadline, "no leader");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    pub(crate) async fn wait_for_voters(&self, host: usize, count: usize) -> Value {
        let deadline = Instant::now() + Duration::from_secs(20);
        loop {
            let (_, reply) = self
                .send(host, "GET", "/admin/v1/members", &Value::Null)
                .await;
            let members = reply["members"].as_array().cloned().unwrap_or_default();
            let voters = members.iter().filter(|m| m["voter"] == true).count();
            if voters == count && members.len() == count {
                return reply;
            }
            assert!(Instant::now() < deadline, "{reply}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Sends one request with the first operator key.
    pub(crate) async fn send(
        &self,
        host: usize,
        method: &str,
        path: &str,
        body: &Value,
    ) -> (u16, Value) {
        send_http(self.hosts[host].admin, method, path, body).await
    }

    /// Sends a request to the hosts in turn until one gives a definite answer.
    /// The ids in the body make the request idempotent.
    pub(crate) async fn send_until_answered(
        &self,
        first: usize,
        method: &str,
        path: &str,
        body: &Value,
    ) -> (u16, Value) {
        let deadline = Instant::now() + Duration::from_secs(20);
        let count = self.hosts.len();
        for host in (first..).map(|i| i % count) {
            let (status, reply) = self.send(host, method, path, body).await;
            if ![0, 503, 504].contains(&status) {
                return (status, reply);
            }
            assert!(Instant::now() < deadline, "{status} {reply}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        unreachable!("the range has no end")
    }

    pub(crate) async fn revision(&self, host: usize) -> u64 {
        let (status, reply) = self
            .send_until_answered(host, "GET", "/admin/v1/ranks", &Value::Null)
            .await;
        assert_eq!(status, 200, "{reply}");
        reply["revision"].as_u64().unwrap()
    }
}

/// Returns a change of a team's weight.
pub(crate) fn weight_change(id: &str, base: u64, weight: u64) -> Value {
    json!({ "change_id": id, "base_revision": base, "reason": "test", "item": { "weight": weight } })
}

fn request(method: &str, path: &str, body: &Value) -> Vec<u8> {
    let body = if body.is_null() {
        String::new()
    } else {
        body.to_string()
    };
    format!(
        "{method} {path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {OPERATOR_KEY}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Sends a request and closes the connection before the response arrives.
pub(crate) async fn send_and_close(address: SocketAddr, method: &str, path: &str, body: &Value) {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream
        .write_all(&request(method, path, body))
        .await
        .unwrap();
    // Leaves time to read the request, but not to answer it.
    tokio::time::sleep(Duration::from_millis(20)).await;
}

/// Sends a request. Returns status 0 if the host can't be reached.
pub(crate) async fn send_http(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &Value,
) -> (u16, Value) {
    let run = async {
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(&request(method, path, body)).await?;
        let mut response = Vec::new();
        stream.read_to_end(&mut response).await?;
        Ok::<_, std::io::Error>(String::from_utf8_lossy(&response).into_owned())
    };
    let Ok(Ok(response)) = timeout(Duration::from_secs(10), run).await else {
        return (0, Value::Null);
    };
    let status = response
        .split(' ')
        .nth(1)
        .and_then(|s| s.parse().ok())
        .unwrap_or(0);
    let body = response.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    (status, serde_json::from_str(body).unwrap_or(json!(body)))
}

//! A temporary directory with a fleet of real daemons on loopback ports. All child
//! processes are killed when the `Workdir` is dropped.

#![expect(clippy::unwrap_used, reason = "test support")]
#![expect(dead_code, reason = "each test file uses only some of the helpers")]

use std::collections::HashMap;
use std::fs;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use anvilloft_fakes::http::Call;
use anvilloft_fakes::http::OpenCall;
use anvilloft_fakes::http::Reply;
use anvilloft_fakes::proxy::Network;

/// Timeout of every wait.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(20);

/// A work directory and the processes started in it.
pub(crate) struct Workdir {
    dir: tempfile::TempDir,
    processes: HashMap<String, Child>,
    /// Length of each process's log at its last start, in bytes.
    log_start: HashMap<String, usize>,
    /// Reserved addresses by name, such as `r0-caller`.
    addrs: HashMap<String, SocketAddr>,
    /// Secret of the test team's key.
    pub(crate) key: String,
}

impl Workdir {
    /// Writes the keys and settings of `controls` control members and `routers`
    /// routers.
    pub(crate) fn new(controls: usize, routers: usize) -> Self {
        Self::build(controls, routers, None)
    }

    /// Writes the same files as [`Self::new`], and starts a proxy in front of each
    /// daemon's peer address and each router's address for callers. Must be called
    /// within a tokio runtime.
    pub(crate) fn with_proxies(controls: usize, routers: usize, net: &Network) -> Self {
        Self::build(controls, routers, Some(net))
    }

    fn build(controls: usize, routers: usize, net: Option<&Network>) -> Self {
        let mut work = Self {
            dir: tempfile::tempdir().unwrap(),
            processes: HashMap::new(),
            log_start: HashMap::new(),
            addrs: HashMap::new(),
            key: String::new(),
        };
        work.write_secret("fleet.key", "0123456789abcdef0123456789abcdef-fleet");
        work.write_secret("endpoint.key", "0123456789abcdef0123456789abcdef-endpoint");
        let path = work.path("op.hash");
        let out = work.run(&["bootstrap", &path]);
        let secret = String::from_utf8(out.stdout).unwrap();
        work.write_secret("op.key", secret.lines().next().unwrap().trim());
        for n in 0..controls {
            for port in ["peer", "admin"] {
                work.reserve(&format!("c{n}-{port}"));
            }
        }
        for n in 0..routers {
            for port in ["peer", "caller"] {
                work.reserve(&format!("r{n}-{port}"));
            }
        }
        if let Some(net) = net {
            let controls = (0..controls).map(|n| format!("c{n}"));
            for host in controls.chain((0..routers).map(|n| format!("r{n}"))) {
                work.start_peer_proxy(&host, net);
            }
            for n in 0..routers {
                let listener = free_listener();
                let proxy_addr = listener.local_addr().unwrap();
                net.proxy_callers(
                    &format!("r{n}"),
                    listener,
                    work.addr(&format!("r{n}-caller")),
                );
                work.addrs.insert(format!("r{n}-caller-proxy"), proxy_addr);
            }
        }
        for n in 0..controls {
            work.write_control_settings(n, controls, n == 0);
        }
        for n in 0..routers {
            work.write_router_settings(n, controls);
        }
        work
    }

    fn path(&self, name: &str) -> String {
        let path: PathBuf = self.dir.path().join(name);
        path.to_str().unwrap().to_owned()
    }

    fn write_secret(&self, name: &str, text: &str) {
        let path = self.path(name);
        fs::write(&path, text).unwrap();
        fs::set_permissions(&path, fs::Permissions::from_mode(0o600)).unwrap();
    }

    fn reserve(&mut self, name: &str) {
        let addr = free_listener().local_addr().unwrap();
        self.addrs.insert(name.to_owned(), addr);
    }

    /// Starts a proxy for a daemon's peer address. The daemon advertises the proxy's
    /// address, so peers connect to the proxy.
    fn start_peer_proxy(&mut self, host: &str, net: &Network) {
        let target = self.addr(&format!("{host}-peer"));
        let listener = free_listener();
        let advertised = listener.local_addr().unwrap();
        net.proxy_peers(host, listener, target);
        self.addrs.insert(format!("{host}-listen"), target);
        self.addrs.insert(format!("{host}-peer"), advertised);
    }

    /// Returns the settings lines of a daemon's peer addresses.
    fn peer_settings(&self, host: &str) -> String {
        let advertised = self.addr(&format!("{host}-peer"));
        match self.addrs.get(&format!("{host}-listen")) {
            Some(listen) => format!("peer_listen = {listen}\npeer_address = {advertised}"),
            None => format!("peer_listen = {advertised}"),
        }
    }

    /// Returns a reserved address, such as `r0-caller`.
    pub(crate) fn addr(&self, name: &str) -> SocketAddr {
        self.addrs[name]
    }

    fn control_addrs(&self, kind: &str, count: usize) -> String {
        let list: Vec<String> = (0..count)
            .map(|n| self.addr(&format!("c{n}-{kind}")).to_string())
            .collect();
        list.join(",")
    }

    fn write_control_settings(&self, n: usize, controls: usize, new_group: bool) {
        let text = format!(
            "[control]\nname = c{n}\ndata_centre = dc{n}\ndata_folder = {}\n\
             {}\nadmin_listen = {}\ngroup = {}\n[peers]\ncontrol = {}\n\
             [key]\nfleet_file = {}\noperator_hash_file = {}\n",
            self.path(&format!("c{n}.data")),
            self.peer_settings(&format!("c{n}")),
            self.addr(&format!("c{n}-admin")),
            if new_group { "new" } else { "join" },
            self.control_addrs("peer", controls),
            self.path("fleet.key"),
            self.path("op.hash"),
        );
        fs::write(self.path(&format!("c{n}.ini")), text).unwrap();
    }

    fn write_router_settings(&self, n: usize, controls: usize) {
        let text = format!(
            "[router]\nname = r{n}\ndata_centre = dc{n}\ncaller_listen = {}\n\
             {}\n[peers]\ncontrol = {}\n[key]\nfleet_file = {}\n\
             endpoint_file = {}\n",
            self.addr(&format!("r{n}-caller")),
            self.peer_settings(&format!("r{n}")),
            self.control_addrs("peer", controls),
            self.path("fleet.key"),
            self.path("endpoint.key"),
        );
        fs::write(self.path(&format!("r{n}.ini")), text).unwrap();
    }

    fn binary(name: &str) -> PathBuf {
        let cli = PathBuf::from(env!("CARGO_BIN_EXE_anvilloft"));
        let path = cli.with_file_name(name);
        assert!(
            path.exists(),
            "{} is missing; run `cargo build --workspace` first",
            path.display()
        );
        path
    }

    fn spawn(&mut self, name: &str, binary: &str, args: &[&str]) {
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(self.path(&format!("{name}.log")))
            .unwrap();
        self.log_start.insert(name.to_owned(), self.log(name).len());
        let child = Command::new(Self::binary(binary))
            .args(args)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        self.processes.insert(name.to_owned(), child);
    }

    /// Starts or restarts a daemon: `c0` is a control member, `r0` a router.
    pub(crate) fn start(&mut self, name: &str) {
        let binary = match name.starts_with('c') {
            true => "anvilloft-control",
            false => "anvilloft-router",
        };
        let path = self.path(&format!("{name}.ini"));
        self.spawn(name, binary, &["--settings", &path]);
    }

    /// Starts an emulated endpoint that announces itself to two routers.
    pub(crate) fn emulate(&mut self, name: &str, args: &[&str]) {
        let routers = format!("{},{}", self.addr("r0-caller"), self.addr("r1-caller"));
        let key = self.path("endpoint.key");
        let mut all_args = vec!["emulate", "--routers", &routers];
        all_args.extend_from_slice(&["--endpoint-key-file", &key, "--id", name]);
        all_args.extend_from_slice(args);
        self.spawn(name, "anvilloft", &all_args);
    }

    /// Kills a process with SIGKILL.
    pub(crate) fn kill(&mut self, name: &str) {
        let mut child = self.processes.remove(name).unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }

    /// Sends SIGKILL to a process through a shared reference. The caller must call
    /// [`Self::kill`] afterwards to reap the process.
    pub(crate) fn send_sigkill(&self, name: &str) {
        let id = self.processes[name].id().to_string();
        Command::new("kill").args(["-KILL", &id]).status().unwrap();
    }

    /// Sends a signal, such as `STOP`, to a running process.
    pub(crate) fn signal(&self, name: &str, signal: &str) {
        let id = self.processes[name].id().to_string();
        let signal = format!("-{signal}");
        Command::new("kill").args([&signal, &id]).status().unwrap();
    }

    /// Returns whether a process has logged since its start. Before that it may not
    /// have installed its signal handlers.
    pub(crate) fn has_logged(&self, name: &str) -> bool {
        self.log(name).len() > self.log_start[name]
    }

    /// Returns the exit code of a process that has exited, which is `None` if a
    /// signal ended it. Returns `None` if it still runs.
    pub(crate) fn try_reap(&mut self, name: &str) -> Option<Option<i32>> {
        let status = self.processes.get_mut(name)?.try_wait().unwrap()?;
        self.processes.remove(name);
        Some(status.code())
    }

    /// Returns the administration addresses of all control members and the operator's
    /// key.
    pub(crate) fn admin_access(&self, controls: usize) -> (Vec<SocketAddr>, String) {
        let addrs = (0..controls).map(|n| self.addr(&format!("c{n}-admin")));
        let key = fs::read_to_string(self.path("op.key")).unwrap();
        (addrs.collect(), key.trim().to_owned())
    }

    /// Sends SIGTERM and returns the exit code. A process that doesn't exit in time is
    /// killed, and `None` returned.
    pub(crate) fn terminate(&mut self, name: &str) -> Option<i32> {
        self.signal(name, "TERM");
        let mut child = self.processes.remove(name).unwrap();
        let start = Instant::now();
        while start.elapsed() < TIMEOUT * 2 {
            if let Some(status) = child.try_wait().unwrap() {
                return status.code();
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        child.kill().unwrap();
        child.wait().unwrap();
        None
    }

    /// Returns the log of a process.
    pub(crate) fn log(&self, name: &str) -> String {
        fs::read_to_string(self.path(&format!("{name}.log"))).unwrap()
    }

    /// Copies the logs of all processes to `target/NAME`.
    pub(crate) fn copy_logs(&self, name: &str) {
        let to = Self::binary("anvilloft").with_file_name("..").join(name);
        fs::create_dir_all(&to).unwrap();
        for entry in fs::read_dir(self.dir.path()).unwrap().flatten() {
            let from = entry.path();
            if from.extension().is_some_and(|e| e == "log") {
                fs::copy(&from, to.join(entry.file_name())).unwrap();
            }
        }
        eprintln!("logs are in {}", to.display());
    }

    /// Prints the last log lines of each process, to diagnose a failed test.
    fn print_logs(&self) {
        for entry in fs::read_dir(self.dir.path())
            .into_iter()
            .flatten()
            .flatten()
        {
            let path = entry.path();
            if path.extension().is_some_and(|e| e == "log") {
                let log = fs::read_to_string(&path).unwrap_or_default();
                let lines: Vec<&str> = log.lines().collect();
                let last = &lines[lines.len().saturating_sub(40)..];
                eprintln!("{}:\n{}", path.display(), last.join("\n"));
            }
        }
    }

    /// Runs the operator's command `anvilloft` against all control members.
    pub(crate) fn run(&self, args: &[&str]) -> Output {
        let controls = self.addrs.keys().filter(|k| k.ends_with("-admin")).count();
        let all: Vec<usize> = (0..controls).collect();
        self.run_at(&all, args)
    }

    /// Runs the operator's command against these control members only.
    pub(crate) fn run_at(&self, members: &[usize], args: &[&str]) -> Output {
        let list: Vec<String> = members
            .iter()
            .map(|n| self.addr(&format!("c{n}-admin")).to_string())
            .collect();
        Command::new(Self::binary("anvilloft"))
            .args(args)
            .env("ANVILLOFT_ADMIN", list.join(","))
            .env("ANVILLOFT_KEY_FILE", self.path("op.key"))
            .output()
            .unwrap()
    }

    /// Runs the operator's command against all control members, asserts that it
    /// succeeds, and returns its JSON output.
    pub(crate) fn json(&self, args: &[&str]) -> serde_json::Value {
        let controls = self.addrs.keys().filter(|k| k.ends_with("-admin")).count();
        let all: Vec<usize> = (0..controls).collect();
        self.json_at(&all, args)
    }

    /// Runs the operator's command against these control members only, asserts that
    /// it succeeds, and returns its JSON output.
    pub(crate) fn json_at(&self, members: &[usize], args: &[&str]) -> serde_json::Value {
        let mut all = args.to_vec();
        all.push("--json");
        let out = self.run_at(members, &all);
        let text = String::from_utf8_lossy(&out.stdout).into_owned();
        assert!(
            out.status.success(),
            "{args:?}: {text} {}",
            String::from_utf8_lossy(&out.stderr)
        );
        serde_json::from_str(&text).unwrap_or_else(|e| panic!("{args:?}: {e}: {text}"))
    }

    /// Starts all daemons and configures a team with a budget of `tokens`, a model, a
    /// service and a key.
    pub(crate) fn start_fleet(&mut self, controls: usize, routers: usize, tokens: &str) {
        for n in 0..controls {
            self.start(&format!("c{n}"));
        }
        wait_until("the first member becomes leader", || {
            self.log("c0").contains("\"leads\":true")
        });
        for n in 1..controls {
            let id = self.member_id(n);
            let addr = self.addr(&format!("c{n}-peer")).to_string();
            self.json(&["member", "add", &id, &addr]);
            wait_until("a learner catches up and is promoted", || {
                self.run(&["member", "promote", &id]).status.success()
            });
        }
        self.json(&["team", "set", "carvers", "--reason", "test"]);
        self.json(&[
            "budget", "set", "main", "--team", "carvers", "--reason", "test",
        ]);
        self.json(&["budget", "topup", "main", tokens, "--reason", "paid"]);
        let model = ["model", "set", "m", "--default-max-tokens", "16"];
        self.json(&[&model[..], &["--max-tokens", "512", "--reason", "test"]].concat());
        let service = ["service", "set", "orders", "--idempotent", "false"];
        self.json(&[&service[..], &["--price", "3", "--reason", "test"]].concat());
        let key = ["key", "make", "k", "--team", "carvers", "--budget", "main"];
        let key = self.json(&[&key[..], &["--reason", "test"]].concat());
        self.key = key["secret"].as_str().unwrap().to_owned();
        for n in 0..routers {
            self.start(&format!("r{n}"));
        }
    }

    /// Deletes the data folder and the log of a killed control member, and sets
    /// `group = join` in its settings.
    pub(crate) fn lose_disk(&self, n: usize) {
        fs::remove_dir_all(self.path(&format!("c{n}.data"))).unwrap();
        fs::remove_file(self.path(&format!("c{n}.log"))).unwrap();
        let controls = self.addrs.keys().filter(|k| k.ends_with("-admin")).count();
        self.write_control_settings(n, controls, false);
    }

    /// Returns the index of the control leader.
    pub(crate) fn leader(&self, members: &[usize]) -> usize {
        let list = self.json_at(members, &["member", "list"]);
        let leader = list["leader"].as_str().unwrap().to_owned();
        let all = self.addrs.keys().filter(|k| k.ends_with("-admin")).count();
        (0..all).find(|n| self.member_id(*n) == leader).unwrap()
    }

    /// Waits until a control member has logged its id, and returns the id.
    pub(crate) fn member_id(&self, n: usize) -> String {
        let field = "\"member\":\"";
        wait_until("a member logs its id", || {
            self.log(&format!("c{n}")).contains(field)
        });
        let log = self.log(&format!("c{n}"));
        let at = log.find(field).unwrap() + field.len();
        log[at..at + 16].to_owned()
    }

    /// Returns a GET request for the administration API of one control member.
    pub(crate) fn admin_get(&self, n: usize, path: &str) -> AdminCall {
        self.admin_call(n, Call::get(path))
    }

    /// Returns a POST request for the administration API of one control member.
    pub(crate) fn admin_post(&self, n: usize, path: &str, body: &str) -> AdminCall {
        self.admin_call(n, Call::post(path, body))
    }

    fn admin_call(&self, n: usize, call: Call) -> AdminCall {
        let key = fs::read_to_string(self.path("op.key")).unwrap();
        AdminCall {
            call: call.key(key.trim()),
            addr: self.addr(&format!("c{n}-admin")),
        }
    }

    /// Returns a chat request with the team's key.
    pub(crate) fn chat(&self, prompt: &str, stream: bool) -> Call {
        let body = serde_json::json!({
            "model": "m", "stream": stream, "max_tokens": 8,
            "messages": [{"role": "user", "content": prompt}],
        });
        Call::post("/v1/chat/completions", body.to_string()).key(&self.key)
    }

    /// Returns a request to the order service with the team's key.
    pub(crate) fn order(&self, key: &str) -> Call {
        Call::post("/v1/services/orders/new", "{\"sku\":1}")
            .key(&self.key)
            .header("Idempotency-Key", key)
    }

    /// Sends a request to a router repeatedly until the status is 200.
    pub(crate) async fn until_ok(&self, router: &str, call: &Call) -> Reply {
        let start = Instant::now();
        let mut last = String::new();
        while start.elapsed() < TIMEOUT {
            match call.send(self.addr(router), TIMEOUT).await {
                Ok(reply) if reply.status == 200 => return reply,
                Ok(reply) => last = reply.text(),
                Err(e) => last = e.to_string(),
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        panic!("{router} did not answer with 200; last: {last}");
    }
}

/// A request to the administration API that can be sent any number of times.
pub(crate) struct AdminCall {
    call: Call,
    addr: SocketAddr,
}

impl AdminCall {
    /// Sends the request without reading the response.
    pub(crate) async fn open(&self) -> std::io::Result<OpenCall> {
        self.call.open(self.addr).await
    }

    /// Sends the request and reads the response.
    pub(crate) async fn send(&self, timeout: Duration) -> std::io::Result<Reply> {
        self.call.send(self.addr, timeout).await
    }
}

impl Drop for Workdir {
    fn drop(&mut self) {
        for child in self.processes.values_mut() {
            child.kill().ok();
            child.wait().ok();
        }
        if std::thread::panicking() {
            self.print_logs();
        }
    }
}

/// Binds a free port below the system's ephemeral range. A reserved port within that
/// range could be assigned to an outgoing connection before the daemon binds it.
fn free_listener() -> TcpListener {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let n = NEXT
            .fetch_add(1, Ordering::Relaxed)
            .wrapping_add(std::process::id().wrapping_mul(128));
        let port = u16::try_from(10_000 + n % 22_000).unwrap();
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener;
        }
    }
}

/// Waits until a condition holds. Panics after [`TIMEOUT`].
pub(crate) fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while start.elapsed() < TIMEOUT {
        if condition() {
            return;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    panic!("{what}: not within {TIMEOUT:?}");
}

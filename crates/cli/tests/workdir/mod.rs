//! A work directory with a fleet of real daemons on loopback ports. Everything
//! that was started is killed by its id when the directory is dropped.

#![expect(clippy::unwrap_used, reason = "test support")]
#![expect(dead_code, reason = "each test file uses a part of it")]

pub(crate) mod proxy;

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
use proxy::Network;

/// Limit of everything that is waited for.
pub(crate) const LIMIT: Duration = Duration::from_secs(20);

/// A work directory and the processes started in it.
pub(crate) struct Workdir {
    dir: tempfile::TempDir,
    processes: HashMap<String, Child>,
    /// Length of each process's log when it was started.
    logged: HashMap<String, usize>,
    ports: HashMap<String, SocketAddr>,
    /// Secret of the team's key.
    pub(crate) key: String,
}

impl Workdir {
    /// Makes keys and settings of `controls` members and `routers` routers.
    pub(crate) fn new(controls: usize, routers: usize) -> Self {
        Self::build(controls, routers, None)
    }

    /// The same with a proxy in front of each daemon's peer address. Must be
    /// called within a tokio runtime.
    pub(crate) fn proxied(controls: usize, routers: usize, net: &Network) -> Self {
        Self::build(controls, routers, Some(net))
    }

    fn build(controls: usize, routers: usize, net: Option<&Network>) -> Self {
        let mut work = Self {
            dir: tempfile::tempdir().unwrap(),
            processes: HashMap::new(),
            logged: HashMap::new(),
            ports: HashMap::new(),
            key: String::new(),
        };
        work.secret("fleet.key", "0123456789abcdef0123456789abcdef-fleet");
        work.secret("endpoint.key", "0123456789abcdef0123456789abcdef-endpoint");
        let path = work.path("op.hash");
        let out = work.run(&["bootstrap", &path]);
        let secret = String::from_utf8(out.stdout).unwrap();
        work.secret("op.key", secret.lines().next().unwrap().trim());
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
                work.put_proxy(&host, net);
            }
            for n in 0..routers {
                let listener = free_listener();
                let front = listener.local_addr().unwrap();
                net.carry_callers(
                    &format!("r{n}"),
                    listener,
                    work.addr(&format!("r{n}-caller")),
                );
                work.ports.insert(format!("r{n}-front"), front);
            }
        }
        for n in 0..controls {
            work.write_control(n, controls, n == 0);
        }
        for n in 0..routers {
            work.write_router(n, controls);
        }
        work
    }

    fn path(&self, name: &str) -> String {
        let path: PathBuf = self.dir.path().join(name);
        path.to_str().unwrap().to_owned()
    }

    fn secret(&self, name: &str, text: &str) {
        let path = self.path(name);
        fs::write(&path, text).unwrap();
        fs::set_permissions(&path, fs::Permissions::from_mode(0o600)).unwrap();
    }

    fn reserve(&mut self, name: &str) {
        let addr = free_listener().local_addr().unwrap();
        self.ports.insert(name.to_owned(), addr);
    }

    /// The peer address that is told and dialled becomes the proxy's.
    fn put_proxy(&mut self, host: &str, net: &Network) {
        let target = self.addr(&format!("{host}-peer"));
        let listener = free_listener();
        let told = listener.local_addr().unwrap();
        net.carry(host, listener, target);
        self.ports.insert(format!("{host}-listen"), target);
        self.ports.insert(format!("{host}-peer"), told);
    }

    /// Returns the settings of the peer address.
    fn peer_settings(&self, host: &str) -> String {
        let told = self.addr(&format!("{host}-peer"));
        match self.ports.get(&format!("{host}-listen")) {
            Some(listen) => format!("peer_listen = {listen}\npeer_address = {told}"),
            None => format!("peer_listen = {told}"),
        }
    }

    /// Returns a reserved address, such as `r0-caller`.
    pub(crate) fn addr(&self, name: &str) -> SocketAddr {
        self.ports[name]
    }

    fn controls(&self, kind: &str, count: usize) -> String {
        let list: Vec<String> = (0..count)
            .map(|n| self.addr(&format!("c{n}-{kind}")).to_string())
            .collect();
        list.join(",")
    }

    fn write_control(&self, n: usize, controls: usize, new: bool) {
        let text = format!(
            "[control]\nname = c{n}\ndata_centre = dc{n}\ndata_folder = {}\n\
             {}\nadmin_listen = {}\ngroup = {}\n[peers]\ncontrol = {}\n\
             [key]\nfleet_file = {}\noperator_hash_file = {}\n",
            self.path(&format!("c{n}.data")),
            self.peer_settings(&format!("c{n}")),
            self.addr(&format!("c{n}-admin")),
            if new { "new" } else { "join" },
            self.controls("peer", controls),
            self.path("fleet.key"),
            self.path("op.hash"),
        );
        fs::write(self.path(&format!("c{n}.ini")), text).unwrap();
    }

    fn write_router(&self, n: usize, controls: usize) {
        let text = format!(
            "[router]\nname = r{n}\ndata_centre = dc{n}\ncaller_listen = {}\n\
             {}\n[peers]\ncontrol = {}\n[key]\nfleet_file = {}\n\
             endpoint_file = {}\n",
            self.addr(&format!("r{n}-caller")),
            self.peer_settings(&format!("r{n}")),
            self.controls("peer", controls),
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
        self.logged.insert(name.to_owned(), self.log(name).len());
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
        let mut all = vec!["emulate", "--routers", &routers];
        all.extend_from_slice(&["--endpoint-key-file", &key, "--id", name]);
        all.extend_from_slice(args);
        self.spawn(name, "anvilloft", &all);
    }

    /// Kills a process without warning.
    pub(crate) fn kill(&mut self, name: &str) {
        let mut child = self.processes.remove(name).unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }

    /// Sends SIGKILL to a process while others use the directory; `kill` has
    /// to follow.
    pub(crate) fn kill_shared(&self, name: &str) {
        let id = self.processes[name].id().to_string();
        Command::new("kill").args(["-KILL", &id]).status().unwrap();
    }

    /// Sends a signal, such as `STOP`, to a process that runs.
    pub(crate) fn signal(&self, name: &str, signal: &str) {
        let id = self.processes[name].id().to_string();
        let signal = format!("-{signal}");
        Command::new("kill").args([&signal, &id]).status().unwrap();
    }

    /// Whether a process has logged since its start. One that has not takes no
    /// signals yet.
    pub(crate) fn is_up(&self, name: &str) -> bool {
        self.log(name).len() > self.logged[name]
    }

    /// Returns the exit code of a process that has ended by itself.
    pub(crate) fn ended(&mut self, name: &str) -> Option<Option<i32>> {
        let status = self.processes.get_mut(name)?.try_wait().unwrap()?;
        self.processes.remove(name);
        Some(status.code())
    }

    /// Returns what the administration API of all control members needs: their
    /// addresses and the operator's key.
    pub(crate) fn admin(&self, controls: usize) -> (Vec<SocketAddr>, String) {
        let addrs = (0..controls).map(|n| self.addr(&format!("c{n}-admin")));
        let key = fs::read_to_string(self.path("op.key")).unwrap();
        (addrs.collect(), key.trim().to_owned())
    }

    /// Sends SIGTERM and returns the exit code.
    pub(crate) fn terminate(&mut self, name: &str) -> Option<i32> {
        self.signal(name, "TERM");
        let mut child = self.processes.remove(name).unwrap();
        let start = Instant::now();
        while start.elapsed() < LIMIT * 2 {
            if let Some(status) = child.try_wait().unwrap() {
                return status.code();
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        child.kill().unwrap();
        child.wait().unwrap();
        None
    }

    /// Returns what a process logged.
    pub(crate) fn log(&self, name: &str) -> String {
        fs::read_to_string(self.path(&format!("{name}.log"))).unwrap()
    }

    /// Copies the logs of all processes to `target/NAME`, for a later look.
    pub(crate) fn keep_logs(&self, name: &str) {
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

    /// Prints the last lines of each process, for the report of a failure.
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

    /// Runs the operator command.
    pub(crate) fn run(&self, args: &[&str]) -> Output {
        let controls = self.ports.keys().filter(|k| k.ends_with("-admin")).count();
        let all: Vec<usize> = (0..controls).collect();
        self.run_at(&all, args)
    }

    /// Runs the operator command with these control members only.
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

    /// Runs the operator command, which has to succeed, and returns its JSON.
    pub(crate) fn json(&self, args: &[&str]) -> serde_json::Value {
        let controls = self.ports.keys().filter(|k| k.ends_with("-admin")).count();
        let all: Vec<usize> = (0..controls).collect();
        self.json_at(&all, args)
    }

    /// The same with these control members only.
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

    /// Starts everything and makes a team with a budget of `tokens`.
    pub(crate) fn start_fleet(&mut self, controls: usize, routers: usize, tokens: &str) {
        for n in 0..controls {
            self.start(&format!("c{n}"));
        }
        wait("the first member leads", || {
            self.log("c0").contains("\"leads\":true")
        });
        for n in 1..controls {
            let id = self.member_id(n);
            let addr = self.addr(&format!("c{n}-peer")).to_string();
            self.json(&["member", "add", &id, &addr]);
            wait("a learner catches up", || {
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

    /// Empties the data folder and the log of a killed control member, whose
    /// settings then say `group = join`.
    pub(crate) fn lose_disk(&self, n: usize) {
        fs::remove_dir_all(self.path(&format!("c{n}.data"))).unwrap();
        fs::remove_file(self.path(&format!("c{n}.log"))).unwrap();
        let controls = self.ports.keys().filter(|k| k.ends_with("-admin")).count();
        self.write_control(n, controls, false);
    }

    /// Returns the number of the control member that leads.
    pub(crate) fn leader(&self, members: &[usize]) -> usize {
        let list = self.json_at(members, &["member", "list"]);
        let leader = list["leader"].as_str().unwrap().to_owned();
        let all = self.ports.keys().filter(|k| k.ends_with("-admin")).count();
        (0..all).find(|n| self.member_id(*n) == leader).unwrap()
    }

    /// Returns the id that a control member logged.
    pub(crate) fn member_id(&self, n: usize) -> String {
        let mark = "\"member\":\"";
        wait("a member logs its id", || {
            self.log(&format!("c{n}")).contains(mark)
        });
        let log = self.log(&format!("c{n}"));
        let at = log.find(mark).unwrap() + mark.len();
        log[at..at + 16].to_owned()
    }

    /// Returns a read of the administration API of one control member.
    pub(crate) fn reading(&self, n: usize, path: &str) -> AdminCall {
        self.admin_call(n, Call::get(path))
    }

    /// Returns a change for the administration API of one control member.
    pub(crate) fn changing(&self, n: usize, path: &str, body: &str) -> AdminCall {
        self.admin_call(n, Call::post(path, body))
    }

    fn admin_call(&self, n: usize, call: Call) -> AdminCall {
        let key = fs::read_to_string(self.path("op.key")).unwrap();
        AdminCall {
            call: call.key(key.trim()),
            addr: self.addr(&format!("c{n}-admin")),
        }
    }

    /// Returns a chat call of the team.
    pub(crate) fn chat(&self, prompt: &str, stream: bool) -> Call {
        let body = serde_json::json!({
            "model": "m", "stream": stream, "max_tokens": 8,
            "messages": [{"role": "user", "content": prompt}],
        });
        Call::post("/v1/chat/completions", body.to_string()).key(&self.key)
    }

    /// Returns an order of the team.
    pub(crate) fn order(&self, key: &str) -> Call {
        Call::post("/v1/services/orders/new", "{\"sku\":1}")
            .key(&self.key)
            .header("Idempotency-Key", key)
    }

    /// Sends a call to a router until it is answered with 200.
    pub(crate) async fn until_ok(&self, router: &str, call: &Call) -> Reply {
        let start = Instant::now();
        let mut last = String::new();
        while start.elapsed() < LIMIT {
            match call.send(self.addr(router), LIMIT).await {
                Ok(reply) if reply.status == 200 => return reply,
                Ok(reply) => last = reply.text(),
                Err(e) => last = e.to_string(),
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        panic!("{router} did not answer with 200; last: {last}");
    }
}

/// A call of the administration API that can be sent again and again.
pub(crate) struct AdminCall {
    call: Call,
    addr: SocketAddr,
}

impl AdminCall {
    /// Sends it and leaves the answer unread.
    pub(crate) async fn open(&self) -> std::io::Result<OpenCall> {
        self.call.open(self.addr).await
    }

    /// Sends it once.
    pub(crate) async fn send(&self, limit: Duration) -> std::io::Result<Reply> {
        self.call.send(self.addr, limit).await
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

/// Binds a free port below those that the system picks by itself. It gives a
/// reserved port of that range to any connection before the daemon binds it.
fn free_listener() -> TcpListener {
    static TAKEN: AtomicU32 = AtomicU32::new(0);
    loop {
        let n = TAKEN
            .fetch_add(1, Ordering::Relaxed)
            .wrapping_add(std::process::id().wrapping_mul(128));
        let port = u16::try_from(10_000 + n % 22_000).unwrap();
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener;
        }
    }
}

/// Waits until a condition holds.
pub(crate) fn wait(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while start.elapsed() < LIMIT {
        if holds() {
            return;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    panic!("{what}: not within {LIMIT:?}");
}

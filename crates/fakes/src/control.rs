//! Control and the links between routers within one process. Each router can be
//! cut off.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anvilloft_ledger::Ledger;
use anvilloft_ledger::set_op;
use anvilloft_types::BoxFuture;
use anvilloft_types::lock;
use anvilloft_types::unix_ms;
use anvilloft_wire::CallError;
use anvilloft_wire::Command;
use anvilloft_wire::Control;
use anvilloft_wire::ControlReply;
use anvilloft_wire::ControlRequest;
use anvilloft_wire::command::Body;
use anvilloft_wire::command::ConfigChange;
use anvilloft_wire::command::Reply;
use anvilloft_wire::command::TopUp;
use anvilloft_wire::config::Budget;
use anvilloft_wire::config::ConfigOp;
use anvilloft_wire::config::Item;
use anvilloft_wire::config::Key;
use anvilloft_wire::config::Model;
use anvilloft_wire::config::Service;
use anvilloft_wire::config::Team;
use anvilloft_wire::control::Answer;
use anvilloft_wire::control::LeaseGrant;
use anvilloft_wire::control::RenewLease;
use anvilloft_wire::control::Request;
use anvilloft_wire::frame::Payload;
use anvilloft_wire::peers::PeerFrame;
use anvilloft_wire::peers::Peers;
use sha2::Digest;
use sha2::Sha256;
use tokio::sync::mpsc;

/// Maximum number of frames queued for one router.
const MAX_INBOX_FRAMES: usize = 1024;
/// Interval at which a grant that waits for a recall checks the budget.
const RECALL_POLL_INTERVAL: Duration = Duration::from_millis(10);

struct JoinedRouter {
    inbox: mpsc::Sender<PeerFrame>,
    cut: Arc<AtomicBool>,
}

/// An unreplicated ledger and the routers that joined.
pub struct LocalControl {
    ledger: Mutex<Ledger>,
    routers: Mutex<HashMap<String, JoinedRouter>>,
    replies_to_lose: AtomicU32,
    change_count: AtomicU32,
    silent_routers: Mutex<Vec<String>>,
}

/// A router's connections to control and its peers.
pub struct LocalLink {
    /// Calls to control.
    pub control: Arc<dyn Control>,
    /// Frames to peers.
    pub peers: Arc<dyn Peers>,
    /// Frames received from peers and control.
    pub inbox: mpsc::Receiver<PeerFrame>,
    /// Set to cut the router off from control and peers.
    pub cut: Arc<AtomicBool>,
    /// Set to cut the router off from control alone.
    pub cut_control: Arc<AtomicBool>,
}

impl LocalControl {
    /// Makes an empty ledger.
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            ledger: Mutex::new(Ledger::new()),
            routers: Mutex::new(HashMap::new()),
            replies_to_lose: AtomicU32::new(0),
            change_count: AtomicU32::new(0),
            silent_routers: Mutex::new(Vec::new()),
        })
    }

    /// Connects a router. A router of the same name is replaced.
    pub fn join(self: &Arc<Self>, router: &str) -> LocalLink {
        let (tx, inbox) = mpsc::channel(MAX_INBOX_FRAMES);
        let cut = Arc::new(AtomicBool::new(false));
        let joined = JoinedRouter {
            inbox: tx,
            cut: Arc::clone(&cut),
        };
        lock(&self.routers).insert(router.to_owned(), joined);
        let cut_control = Arc::new(AtomicBool::new(false));
        let transport = Arc::new(LocalTransport {
            control: Arc::clone(self),
            router: router.to_owned(),
            cut: Arc::clone(&cut),
            cut_control: Arc::clone(&cut_control),
        });
        LocalLink {
            control: Arc::clone(&transport) as Arc<dyn Control>,
            peers: transport,
            inbox,
            cut,
            cut_control,
        }
    }

    /// Drops the replies of the next `count` proposals; the proposals are applied.
    pub fn lose_replies(&self, count: u32) {
        self.replies_to_lose.store(count, Ordering::Relaxed);
    }

    /// Calls `f` with the ledger locked.
    pub fn with_ledger<T>(&self, f: impl FnOnce(&mut Ledger) -> T) -> T {
        f(&mut lock(&self.ledger))
    }

    /// Applies a command with the current time.
    pub fn apply(&self, body: Body) -> Reply {
        let reply = lock(&self.ledger).apply(&Command {
            at_ms: unix_ms(),
            body: Some(body),
        });
        reply
            .reply
            .unwrap_or(Reply::Ok(anvilloft_wire::command::Ok {}))
    }

    /// Changes the configuration and pushes the new revision to every router.
    pub fn change_config(&self, ops: Vec<ConfigOp>) -> Reply {
        let n = self.change_count.fetch_add(1, Ordering::Relaxed);
        let base_revision = self.with_ledger(|l| l.config().revision());
        let reply = self.apply(Body::ConfigChange(ConfigChange {
            change_id: format!("local-{n}"),
            base_revision,
            author: "local".into(),
            reason: "set up".into(),
            ops,
            dry_run: false,
        }));
        let revision = self.with_ledger(|l| l.config().revision());
        for router in lock(&self.routers).values() {
            push(router, Payload::ConfigPush(revision));
        }
        reply
    }

    /// Sets configuration items.
    pub fn set_items(&self, items: Vec<Item>) -> Reply {
        self.change_config(items.into_iter().map(set_op).collect())
    }

    /// Adds a team with one budget of `tokens` and one key with the given secret.
    pub fn add_team(&self, team: &str, secret: &str, rank: &str, tokens: i64) -> Reply {
        let budget = format!("{team}-budget");
        let reply = self.set_items(vec![
            Item::Team(Team {
                name: team.into(),
                default_rank: rank.into(),
                weight: 1,
                disabled: false,
            }),
            Item::Budget(Budget {
                name: budget.clone(),
                team: team.into(),
            }),
            Item::Key(Key {
                name: format!("{team}-key"),
                team: team.into(),
                budget: budget.clone(),
                hash: Sha256::digest(secret).to_vec(),
                role: String::new(),
            }),
        ]);
        if tokens > 0 {
            self.top_up(&budget, tokens);
        }
        reply
    }

    /// Adds tokens to a budget.
    pub fn top_up(&self, budget: &str, amount: i64) -> Reply {
        let n = self.change_count.fetch_add(1, Ordering::Relaxed);
        self.apply(Body::TopUp(TopUp {
            id: format!("top-up-{n}"),
            budget: budget.into(),
            amount,
            author: "local".into(),
            reason: "set up".into(),
        }))
    }

    /// Adds a model.
    pub fn add_model(&self, name: &str, default_max: u32, max: u32) -> Reply {
        self.set_items(vec![Item::Model(Model {
            name: name.into(),
            version: String::new(),
            default_max_tokens: default_max,
            max_tokens: max,
        })])
    }

    /// Adds a plain service.
    pub fn add_service(&self, name: &str, idempotent: bool, price: u64) -> Reply {
        self.set_items(vec![Item::Service(Service {
            name: name.into(),
            idempotent,
            price,
        })])
    }

    /// Sets the routers that leases list as silent.
    pub fn set_silent_routers(&self, routers: &[&str]) {
        *lock(&self.silent_routers) = routers.iter().map(|r| (*r).to_owned()).collect();
    }

    /// Returns the state of a budget as JSON: unspent, allotted and settled tokens.
    pub fn budget(&self, name: &str) -> serde_json::Value {
        let query = anvilloft_wire::control::Query {
            kind: "budget".into(),
            name: name.into(),
            ..Default::default()
        };
        self.with_ledger(|l| l.query(&query))
            .ok()
            .and_then(|text| serde_json::from_str(&text).ok())
            .unwrap_or_default()
    }

    fn renew(&self, req: &RenewLease) -> LeaseGrant {
        let ledger = lock(&self.ledger);
        if !ledger.is_incarnation_open(&req.router, req.incarnation) {
            return LeaseGrant::default();
        }
        let version = ledger.directory_version();
        LeaseGrant {
            valid_ms: ledger.config().value("config_lease_ms", ""),
            config: ledger.config_since(req.revision),
            directory_version: version,
            routers: if version == req.directory_version {
                Vec::new()
            } else {
                ledger.open_incarnations()
            },
            suspects: ledger
                .suspect_fingerprints()
                .iter()
                .map(|f| f.to_vec())
                .collect(),
            recalls: Vec::new(),
            silent_routers: lock(&self.silent_routers).clone(),
            evacuations: Some(ledger.evacuations()),
            ..LeaseGrant::default()
        }
    }

    /// Asks the routers with an allotment of a budget to return idle tokens.
    fn send_recalls(&self, budget: &str) {
        let holders = self.with_ledger(|l| l.holders(budget));
        let routers = lock(&self.routers);
        for (router, _, _) in holders {
            if let Some(router) = routers.get(&router) {
                push(router, Payload::Recall(budget.into()));
            }
        }
    }

    async fn propose(&self, cmd: Command) -> Result<ControlReply, CallError> {
        let body = cmd
            .body
            .ok_or_else(|| CallError::Unavailable("empty command".into()))?;
        if let Body::Grant(grant) = &body {
            self.wait_for_recall(grant).await;
        }
        let reply = self.apply(body);
        if self
            .replies_to_lose
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |n| n.checked_sub(1))
            .is_ok()
        {
            return Err(CallError::Unknown("the reply was lost".into()));
        }
        Ok(Answer::Applied(anvilloft_wire::CommandReply { reply: Some(reply) }).into())
    }

    /// Waits for recalled tokens if the unspent ones don't cover a grant. Returns at
    /// once if recalled ones couldn't cover it either.
    async fn wait_for_recall(&self, grant: &anvilloft_wire::command::Grant) {
        let wait_ms = self.with_ledger(|l| l.config().value("recall_wait_ms", ""));
        let deadline = tokio::time::Instant::now() + Duration::from_millis(wait_ms);
        let mut recalled = false;
        loop {
            let amounts = self.budget(&grant.budget);
            let unspent = amounts["unspent"].as_u64().unwrap_or(0);
            let allotted = amounts["allotted"].as_u64().unwrap_or(0);
            if unspent >= grant.need
                || unspent + allotted < grant.need
                || tokio::time::Instant::now() >= deadline
            {
                return;
            }
            if !recalled {
                recalled = true;
                self.send_recalls(&grant.budget);
            }
            tokio::time::sleep(RECALL_POLL_INTERVAL).await;
        }
    }
}

/// Sends a frame from control to a router, unless the router is cut off.
fn push(router: &JoinedRouter, payload: Payload) {
    if !router.cut.load(Ordering::Relaxed) {
        let frame = PeerFrame {
            node: "control".into(),
            payload,
            transit: Some(Duration::ZERO),
        };
        router.inbox.try_send(frame).ok();
    }
}

/// One router's side of its links to control and peers.
struct LocalTransport {
    control: Arc<LocalControl>,
    router: String,
    cut: Arc<AtomicBool>,
    cut_control: Arc<AtomicBool>,
}

impl LocalTransport {
    fn is_cut_from_control(&self) -> bool {
        self.cut.load(Ordering::Relaxed) || self.cut_control.load(Ordering::Relaxed)
    }
}

impl Control for LocalTransport {
    fn call(
        &self,
        req: ControlRequest,
        timeout: Duration,
    ) -> BoxFuture<'_, Result<ControlReply, CallError>> {
        Box::pin(async move {
            if self.is_cut_from_control() {
                // A cut link drops the call instead of refusing it, so the call
                // times out.
                tokio::time::sleep(timeout).await;
                return Err(CallError::Unavailable("no connection".into()));
            }
            let reply = match req.request {
                Some(Request::Propose(cmd)) => self.control.propose(cmd).await?,
                Some(Request::Renew(renew)) => {
                    Answer::Lease(Box::new(self.control.renew(&renew))).into()
                }
                Some(Request::Query(query)) => {
                    match self.control.with_ledger(|l| l.query(&query)) {
                        Ok(text) => Answer::QueryResult(text).into(),
                        Err(e) => return Err(CallError::Unavailable(e.to_string())),
                    }
                }
                Some(Request::Table(table)) => {
                    let newer = self
                        .control
                        .with_ledger(|l| l.publication_since(table.held_version));
                    Answer::Table(newer.unwrap_or_default()).into()
                }
                Some(Request::Group(_) | Request::Loan(_) | Request::Copy(_)) | None => {
                    return Err(CallError::Unavailable(
                        "LocalControl does not support this request".into(),
                    ));
                }
            };
            if self.is_cut_from_control() {
                return Err(CallError::Unknown("the link was cut".into()));
            }
            Ok(reply)
        })
    }
}

impl Peers for LocalTransport {
    fn send(&self, node: &str, payload: Payload) -> bool {
        if self.cut.load(Ordering::Relaxed) {
            return false;
        }
        let routers = lock(&self.control.routers);
        let Some(peer) = routers.get(node) else {
            return false;
        };
        if peer.cut.load(Ordering::Relaxed) {
            return false;
        }
        let frame = PeerFrame {
            node: self.router.clone(),
            payload,
            transit: Some(Duration::ZERO),
        };
        peer.inbox.try_send(frame).is_ok()
    }
}

//! Several control members in one process.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use anvilloft_control::driver::Driver;
use anvilloft_control::driver::DriverConfig;
use anvilloft_control::driver::EndpointOrder;
use anvilloft_control::driver::Handle;
use anvilloft_control::driver::Status;
use anvilloft_control::driver::Transport;
use anvilloft_storage::Disk;
use anvilloft_storage::MemDisk;
use anvilloft_types::Clock;
use anvilloft_wire::Control;
use anvilloft_wire::command;
use anvilloft_wire::command::Body;
use anvilloft_wire::command::ConfigChange;
use anvilloft_wire::command::OpenIncarnation;
use anvilloft_wire::command::TopUp;
use anvilloft_wire::config::Budget;
use anvilloft_wire::config::ConfigItem;
use anvilloft_wire::config::ConfigOp;
use anvilloft_wire::config::DefaultValue;
use anvilloft_wire::config::Item;
use anvilloft_wire::config::Op;
use anvilloft_wire::config::Team;
use anvilloft_wire::control::Answer;
use anvilloft_wire::control::GroupAction;
use anvilloft_wire::control::GroupRequest;
use anvilloft_wire::control::LeaseGrant;
use anvilloft_wire::control::RenewLease;
use anvilloft_wire::frame::ConsensusFrame;

pub(crate) const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[derive(Default)]
struct Net {
    handles: Mutex<HashMap<u64, Handle>>,
    cut: Mutex<HashSet<u64>>,
    recalled: Mutex<HashSet<(String, String)>>,
    orders: Mutex<Vec<EndpointOrder>>,
}

struct Port {
    me: u64,
    net: Arc<Net>,
}

impl Transport for Port {
    fn send(&self, member: u64, frame: ConsensusFrame) {
        let cut = self.net.cut.lock().unwrap();
        if cut.contains(&self.me) || cut.contains(&member) {
            return;
        }
        if let Some(handle) = self.net.handles.lock().unwrap().get(&member) {
            handle.deliver_consensus(frame);
        }
    }

    fn send_recall(&self, router: &str, _incarnation: u64, budget: &str) {
        let recall = (router.to_owned(), budget.to_owned());
        self.net.recalled.lock().unwrap().insert(recall);
    }

    fn send_order(&self, order: EndpointOrder) {
        self.net.orders.lock().unwrap().push(order);
    }
}

/// The replies that the tests look at.
#[derive(Debug, PartialEq)]
pub(crate) enum Reply {
    Ok,
    Accepted(u64),
    Granted(u64),
    Insufficient(u64, u64),
    Other(String),
}

impl From<command::Reply> for Reply {
    fn from(reply: command::Reply) -> Self {
        match reply {
            command::Reply::Ok(_) => Self::Ok,
            command::Reply::Accepted(a) => Self::Accepted(a.revision),
            command::Reply::Granted(g) => Self::Granted(g.amount),
            command::Reply::Insufficient(i) => Self::Insufficient(i.unspent, i.allotted),
            other => Self::Other(format!("{other:?}")),
        }
    }
}

/// Control members by id. Clones share them.
#[derive(Clone)]
pub(crate) struct Fleet {
    net: Arc<Net>,
    drivers: Arc<Mutex<HashMap<u64, Driver>>>,
    disks: HashMap<u64, MemDisk>,
    pub(crate) snapshot_entries: u64,
    pub(crate) clock: Clock,
}

impl Default for Fleet {
    fn default() -> Self {
        Self {
            net: Arc::default(),
            drivers: Arc::default(),
            disks: HashMap::new(),
            snapshot_entries: 16,
            clock: Clock::start(),
        }
    }
}

impl Fleet {
    /// Starts a group: member 1 founds it, the others join.
    pub(crate) async fn start(size: u64) -> Self {
        let mut fleet = Self::default();
        for id in 1..=size {
            let disk = MemDisk::new();
            fleet.disks.insert(id, disk.clone());
            fleet.launch(id, Box::new(disk), id == 1);
        }
        fleet.leader().await;
        for id in 2..=size {
            fleet.add_learner(id, &format!("address-{id}")).await;
        }
        fleet
            .wait(|s| s.membership.voters().count() as u64 == size && !s.membership_changing)
            .await;
        fleet
    }

    pub(crate) fn launch(&mut self, id: u64, disk: Box<dyn Disk>, found: bool) {
        let net = Arc::clone(&self.net);
        let transport = Arc::new(Port { me: id, net });
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let mut cfg = DriverConfig::new(id, disk, transport, log, id);
        cfg.bootstrap_address = found.then(|| format!("address-{id}"));
        cfg.snapshot_entries = self.snapshot_entries;
        cfg.clock = self.clock;
        // Short, so that a member that is behind gets a snapshot.
        cfg.node.trailing_entries = 4;
        let driver = Driver::start(cfg).unwrap();
        let handles = &self.net.handles;
        handles.lock().unwrap().insert(id, driver.handle());
        self.drivers.lock().unwrap().insert(id, driver);
    }

    /// Ends a member. Its peers get no notice.
    pub(crate) fn stop(&mut self, id: u64) {
        self.net.handles.lock().unwrap().remove(&id);
        let driver = self.drivers.lock().unwrap().remove(&id);
        driver.unwrap().stop().unwrap();
    }

    /// Ends a member and loses what it hadn't synced.
    pub(crate) fn kill(&mut self, id: u64) {
        self.cut(id, true);
        self.stop(id);
        let mut rng = <rand::rngs::StdRng as rand::SeedableRng>::seed_from_u64(id);
        self.disks[&id].crash(&mut rng);
    }

    pub(crate) async fn restart(&mut self, id: u64) {
        self.cut(id, false);
        let disk = self.disks[&id].clone();
        self.launch(id, Box::new(disk), false);
    }

    pub(crate) fn disk(&self, id: u64) -> &MemDisk {
        &self.disks[&id]
    }

    pub(crate) fn cut(&self, id: u64, cut: bool) {
        let mut cuts = self.net.cut.lock().unwrap();
        if cut {
            cuts.insert(id);
        } else {
            cuts.remove(&id);
        }
    }

    pub(crate) fn handle(&self, id: u64) -> Handle {
        self.drivers.lock().unwrap()[&id].handle()
    }

    pub(crate) fn status(&self, id: u64) -> Status {
        self.handle(id).status().borrow().clone()
    }

    pub(crate) fn snapshots(&self, id: u64) -> u64 {
        let handle = self.handle(id);
        handle
            .stats()
            .snapshots
            .load(std::sync::atomic::Ordering::Relaxed)
    }

    fn ids(&self) -> Vec<u64> {
        self.drivers.lock().unwrap().keys().copied().collect()
    }

    /// Waits for a leader that serves and isn't cut off.
    pub(crate) async fn leader(&self) -> u64 {
        for _ in 0..1_000 {
            for id in self.ids() {
                let cut = self.net.cut.lock().unwrap().contains(&id);
                if !cut && self.status(id).is_leader {
                    return id;
                }
            }
            tokio::time::sleep(ms(10)).await;
        }
        panic!("no leader");
    }

    /// Waits until the state of every member fulfils the condition.
    pub(crate) async fn wait(&self, done: impl Fn(&Status) -> bool) {
        for _ in 0..1_500 {
            if self.ids().into_iter().all(|id| done(&self.status(id))) {
                return;
            }
            tokio::time::sleep(ms(10)).await;
        }
        let states: Vec<Status> = self.ids().into_iter().map(|id| self.status(id)).collect();
        panic!("the members are at {states:#?}");
    }

    /// Proposes at the leader, again until it is applied.
    pub(crate) async fn propose(&self, body: Body) -> Reply {
        for _ in 0..20 {
            let handle = self.handle(self.leader().await);
            let call = handle.call(body.clone().into(), ms(2_000)).await;
            if let Ok(reply) = call
                && let Some(Answer::Applied(reply)) = reply.answer
            {
                return reply.reply.unwrap().into();
            }
        }
        panic!("{body:?} was not applied");
    }

    /// Adds a member, again until the change is committed.
    pub(crate) async fn add_learner(&self, id: u64, address: &str) {
        let req = GroupRequest {
            action: GroupAction::AddLearner.into(),
            member: id,
            address: address.into(),
        };
        for _ in 0..500 {
            let handle = self.handle(self.leader().await);
            let call = handle.call(req.clone().into(), ms(2_000)).await;
            if let Ok(reply) = call
                && let Some(Answer::Applied(reply)) = reply.answer
            {
                assert_eq!(Reply::from(reply.reply.unwrap()), Reply::Ok);
                return;
            }
            tokio::time::sleep(ms(10)).await;
        }
        panic!("member {id} was not added");
    }

    /// Asks one member for a lease.
    pub(crate) async fn lease(&self, id: u64, renew: &RenewLease) -> Option<LeaseGrant> {
        let call = self.handle(id).call(renew.clone().into(), ms(2_000)).await;
        match call.ok()?.answer {
            Some(Answer::Lease(lease)) => Some(lease),
            _ => None,
        }
    }

    /// Returns the orders to endpoints so far.
    pub(crate) fn orders(&self) -> Vec<EndpointOrder> {
        self.net.orders.lock().unwrap().clone()
    }

    /// Waits until a router was asked to return a budget's tokens.
    pub(crate) async fn recalled(&self, router: &str, budget: &str) {
        let recall = (router.to_owned(), budget.to_owned());
        for _ in 0..200 {
            if self.net.recalled.lock().unwrap().contains(&recall) {
                return;
            }
            tokio::time::sleep(ms(1)).await;
        }
        panic!("{router} was not asked for {budget}");
    }
}

fn change(base: u64, items: Vec<Item>) -> Body {
    let set = |item| ConfigOp {
        op: Some(Op::Set(ConfigItem { item: Some(item) })),
    };
    Body::ConfigChange(ConfigChange {
        change_id: format!("change-{base}"),
        base_revision: base,
        author: "test".into(),
        reason: "test".into(),
        ops: items.into_iter().map(set).collect(),
        dry_run: false,
    })
}

/// Sets a fleet-wide default.
pub(crate) fn default_change(base: u64, name: &str, value: u64) -> Body {
    let name = name.to_owned();
    change(base, vec![Item::Default(DefaultValue { name, value })])
}

/// Sets the length of configuration leases.
pub(crate) fn value_change(base: u64, value: u64) -> Body {
    default_change(base, "config_lease_ms", value)
}

/// Adds a team and its budget at revision 0.
pub(crate) fn budget_change(name: &str) -> Body {
    let team = Team {
        name: "team".into(),
        default_rank: "normal".into(),
        ..Team::default()
    };
    let budget = Budget {
        name: name.into(),
        team: "team".into(),
    };
    change(0, vec![Item::Team(team), Item::Budget(budget)])
}

pub(crate) fn top_up(budget: &str, amount: i64) -> Body {
    Body::TopUp(TopUp {
        id: format!("{budget}-{amount}"),
        budget: budget.into(),
        amount,
        author: "test".into(),
        reason: "test".into(),
    })
}

pub(crate) fn open(router: &str, incarnation: u64) -> Body {
    Body::OpenIncarnation(OpenIncarnation {
        router: router.into(),
        incarnation,
        caller_address: format!("{router}:1"),
        peer_address: format!("{router}:2"),
        data_centre: "a".into(),
        state: 0,
    })
}

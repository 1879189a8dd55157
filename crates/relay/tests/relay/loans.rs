//! Loans of peers that answer late.

use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use anvilloft_fakes::raw::RawEndpoint;
use anvilloft_wire::Control;
use anvilloft_wire::ControlReply;
use anvilloft_wire::ControlRequest;
use anvilloft_wire::command::Body;
use anvilloft_wire::command::OpenIncarnation;
use anvilloft_wire::command::RouterState;
use anvilloft_wire::control::Answer;
use anvilloft_wire::control::LoanGrant;
use anvilloft_wire::control::Request;
use anvilloft_wire::frame::LoanEnd;
use anvilloft_wire::frame::Payload;
use anvilloft_wire::session::Fleet as Sessions;
use anvilloft_wire::session::FleetOptions;
use anvilloft_wire::session::Identity;
use anvilloft_wire::session::PeerCallHandler;
use anvilloft_wire::session::Session;
use anvilloft_wire::session::join_fleet;

use crate::common::CALL_TIMEOUT;
use crate::common::Fleet;
use crate::common::call;
use crate::common::fleet_key;
use crate::common::log;
use crate::common::whole_stream;

/// Time that a slow lender takes to answer; longer than a relay waits for it.
const LENDER_DELAY: Duration = Duration::from_millis(150);

/// A peer that lends `tokens` to everyone, and answers late.
struct SlowLender {
    tokens: u64,
    asked: Arc<AtomicUsize>,
    /// Number of requests that were made to it as the holder of a reserve.
    drawn: Arc<AtomicUsize>,
}

/// A lender and its sessions.
struct Lender {
    sessions: Sessions,
    drawn: Arc<AtomicUsize>,
}

impl Lender {
    fn drawn(&self) -> usize {
        self.drawn.load(Ordering::Relaxed)
    }
}

impl PeerCallHandler for SlowLender {
    fn answer(&self, _: &Arc<Session>, req: &ControlRequest) -> Option<ControlReply> {
        let Some(Request::Loan(loan)) = &req.request else {
            return None;
        };
        self.asked.fetch_add(1, Ordering::Relaxed);
        self.drawn
            .fetch_add(usize::from(loan.as_holder), Ordering::Relaxed);
        std::thread::sleep(LENDER_DELAY);
        let grant = LoanGrant {
            loan_id: 7,
            amount: self.tokens,
        };
        Some(Answer::Lent(grant).into())
    }
}

/// Starts lenders and an endpoint, and waits until the relay has sessions with all
/// lenders: until each was asked.
async fn start_lenders(fleet: &Fleet, count: usize, tokens: u64) -> Vec<Lender> {
    let mut lenders = Vec::new();
    let mut asked = Vec::new();
    for n in 0..count {
        let name = format!("z{n}");
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let peer_address = listener.local_addr().unwrap().to_string();
        let mut identity = Identity::new(&name, "router", "a", fleet_key());
        identity.incarnation = 1;
        let count = Arc::new(AtomicUsize::new(0));
        let drawn = Arc::new(AtomicUsize::new(0));
        let mut options = FleetOptions::new(identity, listener);
        options.call_handler = Arc::new(SlowLender {
            tokens,
            asked: Arc::clone(&count),
            drawn: Arc::clone(&drawn),
        });
        let sessions = join_fleet(options, &log()).unwrap();
        lenders.push(Lender { sessions, drawn });
        asked.push(count);
        let open = OpenIncarnation {
            router: name,
            incarnation: 1,
            caller_address: "127.0.0.1:1".into(),
            peer_address,
            data_centre: "a".into(),
            state: RouterState::Alive.into(),
        };
        let peers = fleet.control.peers();
        let body = Body::OpenIncarnation(open).into();
        peers.call(body, CALL_TIMEOUT).await.unwrap();
    }
    for n in 0..200 {
        if asked.iter().all(|a| a.load(Ordering::Relaxed) > 0) {
            return lenders;
        }
        fleet.try_send(0, "/stream/x", &format!("warm{n}")).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("a lender was never asked");
}

/// Guards against tokens that count as used up although no request used them, because
/// the lender granted them after the borrower had stopped waiting.
#[tokio::test(flavor = "multi_thread", worker_threads = 8)]
async fn a_loan_that_arrives_too_late_is_returned() {
    let fleet = Fleet::start(1).await;
    fleet.publish(1, 1).await;
    let mut lenders = start_lenders(&fleet, 1, 500).await;
    let inbox = &mut lenders[0].sessions.inbox;
    let returned = async {
        loop {
            let frame = inbox.recv().await.expect("the session ended");
            if let Payload::LoanEnd(end) = frame.payload {
                return end;
            }
        }
    };
    let end = tokio::time::timeout(Duration::from_secs(3), returned).await;
    let expected = LoanEnd {
        loan_id: 7,
        used: 0,
    };
    assert_eq!(end.expect("the loan was not returned"), expected);
}

/// Guards against a request that is answered long after its deadline, because many
/// peers that don't answer are asked for tokens one after another.
#[tokio::test(flavor = "multi_thread", worker_threads = 16)]
async fn silent_lenders_do_not_hold_a_request_past_its_deadline() {
    let fleet = Fleet::start(1).await;
    fleet.publish(1, 1).await;
    let endpoint = RawEndpoint::start(|s| whole_stream(&s, 3)).await.unwrap();
    fleet.announce("e", endpoint.addr, "engines");
    let lenders = start_lenders(&fleet, 10, 0).await;
    let started = Instant::now();
    let reply = call("/stream/x", "body", "late")
        .header("x-wait-ms", "300")
        .send(fleet.relays[0].address(), CALL_TIMEOUT)
        .await
        .unwrap();
    let elapsed = started.elapsed();
    assert!((400..600).contains(&reply.status), "{}", reply.status);
    assert!(elapsed < Duration::from_millis(500), "{elapsed:?}");
    drop(lenders);
}

/// Guards against a router that sees few requests of a team and keeps a reserve of its own
/// for them, or doesn't ask the holder of its data centre.
#[tokio::test(flavor = "multi_thread", worker_threads = 16)]
async fn a_router_with_few_requests_draws_on_one_holder() {
    let fleet = Fleet::start(1).await;
    fleet.publish(1, 1).await;
    let lenders = start_lenders(&fleet, 10, 0).await;
    // After a while without requests there are few again.
    tokio::time::sleep(Duration::from_secs(11)).await;
    let drawn_before: Vec<usize> = lenders.iter().map(Lender::drawn).collect();
    fleet.try_send(0, "/stream/x", "few").await;
    let drawn = lenders.iter().zip(&drawn_before);
    let drawn: usize = drawn.map(|(l, before)| l.drawn() - before).sum();
    assert_eq!(drawn, 1);
}

//! Requests that crash the endpoints that begin to answer them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use anvilloft_control::ControlDaemon;
use anvilloft_control::peers::Peers;
use anvilloft_dispatch::PromptPart;
use anvilloft_dispatch::RequestTraits;
use anvilloft_fakes::http::Call;
use anvilloft_fakes::http::Reply;
use anvilloft_fakes::raw::RawEndpoint;
use anvilloft_fakes::raw::ReceivedRequest;
use anvilloft_fakes::raw::Step;
use anvilloft_fakes::raw::whole_answer;
use anvilloft_relay::RelayOptions;
use anvilloft_telemetry::Metrics;
use anvilloft_types::Fingerprint;
use anvilloft_wire::Control;
use anvilloft_wire::command::Body;
use anvilloft_wire::command::Crash;
use anvilloft_wire::command::CrashedRequest;
use anvilloft_wire::command::ReleaseQuarantine;
use anvilloft_wire::command::ReportCrashes;
use anvilloft_wire::command::RequestTrait;
use anvilloft_wire::frame::EndpointUpdate;
use rstest::rstest;

use crate::common::CALL_TIMEOUT;
use crate::common::Fleet;
use crate::common::call;
use crate::common::chunk;
use crate::common::event;
use crate::common::eventually;
use crate::common::log;
use crate::common::next_event;
use crate::common::stream_head;
use crate::common::whole_stream;

const ENDPOINTS: u32 = 12;
/// Five crashes that show the cause, and three requests that were on their way.
const MAX_CRASHES: u64 = 8;
/// Time after a crash within which all routers know of it, with room for the machine.
const SETTLE_TIME: Duration = Duration::from_millis(700);
/// Time within which all routers know a new list, with room for the machine. The next
/// lease may be 1 s away.
const PUSH_TIME: Duration = Duration::from_millis(700);
/// Requests that crash endpoints, of which the last ones must be refused.
const DEADLY_REQUESTS: usize = 12;

/// Announces an endpoint until it has crashed.
async fn announce(peers: Arc<Peers>, mut update: EndpointUpdate, is_alive: Arc<AtomicBool>) {
    while is_alive.load(Ordering::Relaxed) {
        update.seq += 1;
        peers.announce(update.clone());
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
}

struct CrashingFleet {
    fleet: Fleet,
    /// Number of requests that crashed an endpoint.
    crashes: Arc<AtomicU64>,
}

impl CrashingFleet {
    /// Starts routers and endpoints, which crash on requests whose head or body holds
    /// `deadly`.
    async fn start(service: &str, deadly: &'static str) -> Self {
        Self::start_with(service, deadly, |_| Vec::new()).await
    }

    /// Starts them with endpoints that send `beginning` before they crash.
    async fn start_with(
        service: &str,
        deadly: &'static str,
        beginning: fn(&ReceivedRequest) -> Vec<u8>,
    ) -> Self {
        let fleet = Fleet::start(3).await;
        fleet.publish(1, 1_000_000).await;
        let crashes = Arc::new(AtomicU64::new(0));
        let is_engine = service == "engines";
        for n in 0..ENDPOINTS {
            let crashes = Arc::clone(&crashes);
            let is_alive = Arc::new(AtomicBool::new(true));
            let alive = Arc::clone(&is_alive);
            let endpoint = RawEndpoint::start(move |req| {
                if req.head.contains(deadly) || req.body.contains(deadly) {
                    crashes.fetch_add(1, Ordering::Relaxed);
                    alive.store(false, Ordering::Relaxed);
                    vec![
                        Step::Send(beginning(&req)),
                        Step::Wait(Duration::from_millis(20)),
                        Step::Crash,
                    ]
                } else if is_engine {
                    whole_stream(&req, 2)
                } else {
                    vec![Step::Send(whole_answer(&req.attempt, "{}"))]
                }
            });
            let address = endpoint.await.unwrap().addr;
            let update = EndpointUpdate {
                id: format!("e{n}"),
                incarnation: 1,
                address: address.to_string(),
                data_centre: "a".into(),
                pool: service.into(),
                slots: 8,
                ..EndpointUpdate::default()
            };
            tokio::spawn(announce(
                Arc::clone(fleet.control.peers()),
                update,
                is_alive,
            ));
        }
        Self { fleet, crashes }
    }

    fn crashes(&self) -> u64 {
        self.crashes.load(Ordering::Relaxed)
    }

    async fn send(&self, n: usize, call: Call) -> Reply {
        let relay = &self.fleet.relays[n % self.fleet.relays.len()];
        call.send(relay.address(), CALL_TIMEOUT).await.unwrap()
    }
}

impl CrashingFleet {
    /// Reports crashes that quarantine part 9, and returns its fingerprint.
    async fn quarantine_part_9(&self) -> Fingerprint {
        let prompt_parts = [9, 0].map(|id| PromptPart { id, tokens: 50 });
        let part = RequestTraits::new(&[], &prompt_parts).parts[0];
        let to_trait = |fingerprint: Vec<u8>| RequestTrait {
            fingerprint,
            ..RequestTrait::default()
        };
        for n in 0..3_u8 {
            let report = ReportCrashes {
                crashes: vec![Crash {
                    endpoint: format!("gone{n}"),
                    endpoint_incarnation: 1,
                    requests: vec![CrashedRequest {
                        whole: Some(to_trait(vec![n; 16])),
                        parts: vec![to_trait(part.to_vec())],
                        prompt: Vec::new(),
                        ..CrashedRequest::default()
                    }],
                    age_ms: 0,
                }],
            };
            let peers = self.fleet.control.peers();
            let call = peers.call(Body::ReportCrashes(report).into(), CALL_TIMEOUT);
            call.await.unwrap();
            tokio::time::sleep(Duration::from_millis(150)).await;
        }
        part
    }

    /// Sends a request, and repeats it a few times while it reaches only endpoints that
    /// have crashed.
    async fn send_sound(&self, n: usize, call: Call) -> Reply {
        let mut reply = self.send(n, call.clone()).await;
        for _ in 0..3 {
            if !reply.text().contains("endpoints_unreachable") {
                break;
            }
            reply = self.send(n, call.clone()).await;
        }
        reply
    }

    /// Sends a request that may crash an endpoint, and waits until the routers know of
    /// it. Returns whether it was refused as quarantined.
    async fn send_deadly(&self, n: usize, call: Call) -> bool {
        let relay = &self.fleet.relays[n % self.fleet.relays.len()];
        // The answer may be cut off.
        let reply = call.send(relay.address(), CALL_TIMEOUT).await;
        if reply.is_ok_and(|r| r.text().contains("\"code\":\"quarantined\"")) {
            return true;
        }
        tokio::time::sleep(SETTLE_TIME).await;
        false
    }
}

fn prompt(n: usize, parts: &str) -> Call {
    let body = format!("body {n}");
    call("/stream/x", &body, &format!("{n:032x}")).header("x-parts", &format!("{parts},{n}"))
}

/// Guards against endpoints that crash one after the other of requests that have
/// nothing in common but a part of their prompts.
#[tokio::test(flavor = "multi_thread")]
async fn a_part_that_crashes_endpoints_is_refused_and_sound_requests_are_served() {
    let f = CrashingFleet::start("engines", "x-parts: 1,9,").await;
    let mut served = 0;
    for n in 0..DEADLY_REQUESTS {
        for k in 0..16 {
            let reply = f.send_sound(k, prompt(1_000 + n * 16 + k, "1")).await;
            served += u32::from(reply.status == 200);
        }
        f.send_deadly(n, prompt(2_000 + n, "1,9")).await;
    }
    assert!(
        f.crashes() <= MAX_CRASHES,
        "{} requests crashed endpoints",
        f.crashes()
    );
    assert!(served >= 182, "{served} of 192 sound requests were served");
    let crashes = f.crashes();
    for n in 0..3 {
        let reply = f.send(n, prompt(3_000 + n, "1,9")).await;
        assert_eq!(reply.status, 503, "router {n}: {}", reply.text());
        assert!(reply.text().contains("\"code\":\"quarantined\""));
        assert!(reply.text().contains("\"run\":\"no\""));
        let sound = f.send_sound(n, prompt(4_000 + n, "1,8")).await;
        assert_eq!(sound.status, 200, "router {n}");
    }
    assert_eq!(f.crashes(), crashes, "a refused request was sent");
}

/// Guards against a router that runs what the others refuse, because it started, or
/// reached control, after the quarantine.
#[tokio::test(flavor = "multi_thread")]
async fn a_router_that_starts_after_a_quarantine_learns_of_it() {
    let mut f = CrashingFleet::start("engines", "x-never").await;
    f.quarantine_part_9().await;
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let options = RelayOptions::builder("late", "a", listen).build();
    f.fleet.add_relay("late", options, &log()).await;
    eventually("the late router refuses", || {
        let text = f.fleet.relays[3].metrics().text();
        text.contains("anvilloft_quarantined_traits 1")
    })
    .await;
    let reply = f.send(3, prompt(1, "1,9")).await;
    assert!(reply.text().contains("\"code\":\"quarantined\""));
}

/// Guards against one request that its caller sends again and again, at any router.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_endpoints_is_refused_when_it_is_sent_again() {
    for (service, path) in [("plain", "/any/x"), ("plain", "/once/x")] {
        let f = CrashingFleet::start(service, "deadly").await;
        let mut is_refused = false;
        for n in 0..DEADLY_REQUESTS {
            let id = format!("{n:032x}");
            is_refused = f.send_deadly(n, call(path, "deadly", &id)).await;
        }
        assert!(is_refused, "{path}");
        assert!(
            f.crashes() <= MAX_CRASHES,
            "{path}: {} requests crashed endpoints",
            f.crashes()
        );
        let sound = f.send_sound(0, call(path, "sound", "00ff")).await;
        assert_eq!(sound.status, 200, "{path}: {}", sound.text());
    }
}

/// Guards against endpoints that crash one after the other on a request of which they
/// have sent the beginning of an answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_endpoints_during_its_answer_is_refused() {
    struct Case {
        name: &'static str,
        service: &'static str,
        path: &'static str,
        beginning: fn(&ReceivedRequest) -> Vec<u8>,
    }
    let cases = [
        Case {
            name: "after the header",
            service: "plain",
            path: "/any/x",
            beginning: |req| cut_answer(&req.attempt, 0),
        },
        Case {
            name: "in the body",
            service: "plain",
            path: "/once/x",
            beginning: |req| cut_answer(&req.attempt, 5),
        },
        Case {
            name: "a stream without an event",
            service: "engines",
            path: "/stream/x",
            beginning: |req| stream_head(&req.attempt).into_bytes(),
        },
        Case {
            name: "after the first event",
            service: "engines",
            path: "/stream/x",
            beginning: |req| (stream_head(&req.attempt) + &chunk(&event(1))).into_bytes(),
        },
        Case {
            name: "after three events of each endpoint",
            service: "engines",
            path: "/stream/x",
            beginning: |req| {
                let first = next_event(req);
                let events = (first..first + 3).map(|id| chunk(&event(id)));
                (stream_head(&req.attempt) + &events.collect::<String>()).into_bytes()
            },
        },
        Case {
            name: "a stream without chunks, inside its first event",
            service: "engines",
            path: "/stream/x",
            beginning: |req| {
                let head = stream_head(&req.attempt).replace("transfer-encoding: chunked\r\n", "");
                (head + "id: 1\ndata: x").into_bytes()
            },
        },
    ];
    for case in cases {
        let f = CrashingFleet::start_with(case.service, "deadly", case.beginning).await;
        let mut is_refused = false;
        for n in 0..DEADLY_REQUESTS {
            let call = call(case.path, "deadly", &format!("{n:032x}"));
            is_refused = f.send_deadly(n, call).await;
        }
        let crashes = f.crashes();
        assert!(
            is_refused && crashes > 0 && crashes <= MAX_CRASHES,
            "{}: {crashes} requests crashed endpoints",
            case.name
        );
    }
}

/// Guards against requests that are blamed for the end of an endpoint that leaves.
#[rstest]
#[case::stays(false, 1)]
#[case::leaves(true, 0)]
#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_that_ends_its_streams_after_it_has_left_did_not_crash(
    #[case] leaves: bool,
    #[case] crashes: u64,
) {
    let fleet = Fleet::start(1).await;
    fleet.publish(1, 1_000_000).await;
    let endpoint = RawEndpoint::start(|req| {
        let events: String = (1..4).map(|id| chunk(&event(id))).collect();
        vec![
            Step::Send((stream_head(&req.attempt) + &events).into_bytes()),
            Step::Wait(2 * SETTLE_TIME),
            Step::Crash,
        ]
    });
    let address = endpoint.await.unwrap().addr;
    fleet.announce("f0", address, "engines");
    let relay = &fleet.relays[0];
    let call = call("/stream/x", "any", "00aa");
    let mut stream = call.open(relay.address()).await.unwrap();
    // The announcement may take a moment to arrive.
    while !stream.read_until("id: 3", SETTLE_TIME).await {
        stream = call.open(relay.address()).await.unwrap();
    }
    let leave = EndpointUpdate {
        id: "f0".into(),
        leaving: leaves,
        left: leaves,
        incarnation: 1,
        ..EndpointUpdate::default()
    };
    fleet.control.peers().announce(leave);
    tokio::time::sleep(3 * SETTLE_TIME).await;
    drop(stream);
    let expected = format!("anvilloft_endpoint_crashes_total {crashes}");
    let metrics = relay.metrics().text();
    assert!(metrics.contains(&expected), "{metrics}");
}

/// Returns an answer without the end of its body, of which `sent` bytes are there.
fn cut_answer(id: &str, sent: usize) -> Vec<u8> {
    let mut answer = whole_answer(id, "0123456789");
    answer.truncate(answer.len() - 10 + sent);
    answer
}

/// Guards against sound requests that are refused because all endpoints failed at once.
#[tokio::test(flavor = "multi_thread")]
async fn endpoints_that_fail_together_quarantine_nothing() {
    let f = CrashingFleet::start("engines", "x-never").await;
    let endpoints: Vec<_> = (0..3)
        .map(|_| RawEndpoint::start(|_| vec![Step::Wait(Duration::from_millis(300)), Step::Crash]))
        .collect();
    for (n, endpoint) in endpoints.into_iter().enumerate() {
        let address = endpoint.await.unwrap().addr;
        f.fleet.announce(&format!("f{n}"), address, "engines");
    }
    let sent = (0..40).map(|n| f.send(n, prompt(n, "7,8")));
    futures::future::join_all(sent).await;
    tokio::time::sleep(SETTLE_TIME).await;
    for n in 0..3 {
        let reply = f.send_sound(n, prompt(100 + n, "7,8")).await;
        assert_eq!(reply.status, 200, "router {n}: {}", reply.text());
    }
    eventually("nothing is in quarantine", || {
        let metrics = f.fleet.relays[0].metrics().text();
        metrics.contains("anvilloft_quarantined_traits 0")
    })
    .await;
}

/// Guards against endpoints that crash one after the other because the first of them
/// crashed while control was unreachable.
#[tokio::test(flavor = "multi_thread")]
async fn crashes_while_control_is_unreachable_are_told_apart() {
    let f = CrashingFleet::start("plain", "deadly").await;
    let sound = f.fleet.send(0, "/any/x", "00ff").await;
    assert_eq!(sound.status, 200, "{}", sound.text());
    // All other endpoints are announced by then, too.
    tokio::time::sleep(SETTLE_TIME).await;
    let (settings, relays, _folder) = f.fleet.stop_control().await;
    let send = |n: usize| {
        let (call, address) = (
            call("/any/x", "deadly", &format!("{n:032x}")),
            relays[0].address(),
        );
        async move { call.send(address, CALL_TIMEOUT).await }
    };
    for n in 0..3 {
        // The answer may be cut off.
        drop(send(n).await);
        tokio::time::sleep(SETTLE_TIME).await;
    }
    let crashes = f.crashes.load(Ordering::Relaxed);
    assert!(crashes >= 3, "{crashes} requests crashed endpoints");
    let metrics = Metrics::new().unwrap();
    let control = ControlDaemon::start(settings, metrics, log())
        .await
        .unwrap();
    eventually("the router refuses", || {
        let text = relays[0].metrics().text();
        text.contains("anvilloft_quarantined_traits 1")
    })
    .await;
    let reply = send(9).await.unwrap();
    assert!(reply.text().contains("\"code\":\"quarantined\""));
    control.stop().await.unwrap();
}

/// Guards against sound requests that are refused after operators released their part.
#[tokio::test(flavor = "multi_thread")]
async fn a_released_part_is_served_by_all_routers_at_once() {
    let f = CrashingFleet::start("engines", "x-never").await;
    let part = f.quarantine_part_9().await;
    let count = |n: usize, count: u32| {
        let text = f.fleet.relays[n].metrics().text();
        text.contains(&format!("anvilloft_quarantined_traits {count}"))
    };
    for n in 0..3 {
        eventually("the router refuses", || count(n, 1)).await;
        let reply = f.send(n, prompt(n, "1,9")).await;
        let trait_of_it = format!("{:032x}", u128::from_be_bytes(part));
        assert!(reply.text().contains(&trait_of_it), "{}", reply.text());
    }
    let release = ReleaseQuarantine {
        change_id: "r".into(),
        author: "operator".into(),
        reason: "it is sound".into(),
        fingerprint: part.to_vec(),
    };
    let body = Body::ReleaseQuarantine(release).into();
    let released = f.fleet.control.peers().call(body, CALL_TIMEOUT).await;
    let pushed_by = Instant::now() + PUSH_TIME;
    released.unwrap();
    for n in 0..3 {
        eventually("the router knows", || count(n, 0)).await;
    }
    assert!(Instant::now() < pushed_by, "ahead of the next leases");
    for n in 0..3 {
        let reply = f.send_sound(n, prompt(100 + n, "1,9")).await;
        assert_eq!(reply.status, 200, "router {n}: {}", reply.text());
    }
}

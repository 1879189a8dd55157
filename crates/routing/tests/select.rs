//! Tests of [`PredictiveSelector`].

use std::collections::HashMap;
use std::time::Duration;

use anvilloft_routing::EndpointState;
use anvilloft_routing::Failure;
use anvilloft_routing::Load;
use anvilloft_routing::NoRoute;
use anvilloft_routing::Outcome;
use anvilloft_routing::PredictiveSelector;
use anvilloft_routing::RouteRequest;
use anvilloft_routing::Selector;
use anvilloft_routing::SelectorConfig;
use anvilloft_routing::ServedModel;
use anvilloft_routing::share;
use proptest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

const DONE: Outcome = Outcome::Done {
    first_token: Duration::from_millis(100),
    gap: Duration::ZERO,
};

fn secs(s: u64) -> Duration {
    Duration::from_secs(s)
}

fn state(no: usize, seq: u64, slots: u32) -> EndpointState {
    EndpointState {
        id: format!("e{no}"),
        incarnation: 1,
        seq,
        models: vec![ServedModel {
            model: "m".to_owned(),
            version: "1".to_owned(),
            adapters: vec!["a".to_owned()],
        }],
        slots,
        lease_expires: secs(1000),
        ..EndpointState::default()
    }
}

fn selector(own: usize, routers: usize, endpoints: usize, slots: u32) -> PredictiveSelector {
    let names: Vec<String> = (0..routers).map(|r| format!("r{r}")).collect();
    let rng = SmallRng::seed_from_u64(own as u64);
    let mut s = PredictiveSelector::new(SelectorConfig::default(), rng);
    s.set_routers(&names[own], &names);
    for e in 0..endpoints {
        s.update(secs(0), &state(e, 1, slots));
    }
    s
}

fn request(fingerprint: u64) -> RouteRequest<'static> {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&fingerprint.to_le_bytes());
    RouteRequest {
        model: "m",
        level: 1,
        prompt_tokens: 1000,
        fingerprint: bytes,
        ..RouteRequest::default()
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 40, ..ProptestConfig::default() })]

    /// Guards against endpoints that are filled beyond their slots by more than
    /// one request per router, and against shares that don't add up.
    #[test]
    fn routers_without_communication_respect_the_slots(
        routers in 1usize..12,
        endpoints in 1usize..6,
        slots in 1u32..40,
        seed in 0u64..1000,
    ) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut selectors: Vec<_> = (0..routers)
            .map(|r| selector(r, routers, endpoints, slots))
            .collect();
        let shares: u32 = selectors.iter().map(|s| s.capacity(secs(0), &request(0)).slots).sum();
        prop_assert_eq!(shares, slots * endpoints as u32);
        let mut load: HashMap<String, u32> = HashMap::new();
        let mut running = Vec::new();
        for id in 0..1500u128 {
            let r = rng.random_range(0..routers);
            if rng.random_range(0..5) == 0 && !running.is_empty() {
                let at = rng.random_range(0..running.len());
                let (r, ep, id): (usize, String, u128) = running.swap_remove(at);
                selectors[r].finished(secs(1), &ep, id, DONE);
                *load.entry(ep).or_default() -= 1;
                continue;
            }
            let req = RouteRequest {
                level: rng.random_range(0..3),
                prefix: Some(rng.random_range(0..3)),
                ..request(rng.random())
            };
            if let Ok(c) = selectors[r].choose(secs(1), &req) {
                selectors[r].started(secs(1), &c.endpoint, id, 10);
                let n = load.entry(c.endpoint.clone()).or_default();
                *n += 1;
                prop_assert!(*n <= slots + routers as u32);
                running.push((r, c.endpoint, id));
            }
        }
        // Every router is full now, so every slot is taken.
        for e in 0..endpoints {
            let n = load.get(&format!("e{e}")).copied().unwrap_or(0);
            prop_assert!(n + 2 * routers as u32 >= slots, "e{e}: {n} of {slots}");
        }
    }

    /// Guards against a popular prefix that overloads one endpoint.
    #[test]
    fn one_prefix_overloads_no_endpoint(seed in 0u64..1000, requests in 20u32..200) {
        let (busiest, bound) = busiest_load_of_one_prefix(seed, requests);
        prop_assert!(f64::from(busiest) <= bound, "{busiest} of {requests}");
    }
}

/// Sends requests with one prefix to 8 endpoints. Returns the number of
/// requests at the busiest endpoint and its bound: 1.25 times the mean, plus
/// one request, plus two for the pair's imbalance.
fn busiest_load_of_one_prefix(seed: u64, requests: u32) -> (u32, f64) {
    let mut s = selector(0, 1, 8, 64);
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut load: HashMap<String, u32> = HashMap::new();
    for id in 0..requests {
        let req = RouteRequest {
            prefix: Some(7),
            ..request(rng.random())
        };
        let Ok(c) = s.choose(secs(1), &req) else {
            panic!("seed {seed}: no free slot for request {id}");
        };
        s.started(secs(1), &c.endpoint, u128::from(id), 10);
        *load.entry(c.endpoint).or_default() += 1;
    }
    let busiest = load.values().copied().max().unwrap_or(0);
    (busiest, 1.25 * f64::from(requests) / 8.0 + 3.0)
}

/// Guards against pairs that share one endpoint by chance and fill it beyond
/// the bound, as happened with seed 399 and 51 requests.
#[test]
fn pairs_of_one_prefix_respect_the_load_bound() {
    let exceeding: Vec<_> = (0..1000)
        .filter(|seed| {
            let (busiest, bound) = busiest_load_of_one_prefix(*seed, 51);
            f64::from(busiest) > bound
        })
        .collect();
    assert_eq!(exceeding, [0u64; 0]);
}

/// Guards against choosing an endpoint that can't serve the request.
#[rstest]
#[case("model", RouteRequest { model: "other", ..request(1) }, false)]
#[case("version", RouteRequest { version: "2", ..request(1) }, false)]
#[case("adapter", RouteRequest { adapter: "b", ..request(1) }, false)]
#[case("service", RouteRequest { model: "", service: "shop", ..request(1) }, false)]
#[case("all match", RouteRequest { version: "1", adapter: "a", ..request(1) }, true)]
fn candidates_serve_the_request(
    #[case] name: &str,
    #[case] req: RouteRequest<'static>,
    #[case] found: bool,
) {
    let mut s = selector(0, 1, 3, 4);
    let choice = s.choose(secs(1), &req);
    assert_eq!(choice.is_ok(), found, "{name}");
    if !found {
        assert_eq!(choice, Err(NoRoute::NoEndpoint), "{name}");
    }
}

/// Guards against new work for endpoints that leave, whose lease has ended or
/// that an older announcement brings back.
#[test]
fn leaving_and_expired_endpoints_get_no_requests() {
    let mut s = selector(0, 1, 1, 4);
    let leaving = EndpointState {
        leaving: true,
        ..state(0, 3, 4)
    };
    s.update(secs(1), &leaving);
    s.update(secs(1), &state(0, 2, 4));
    assert_eq!(s.choose(secs(1), &request(1)), Err(NoRoute::NoEndpoint));
    s.update(secs(1), &state(0, 4, 4));
    assert!(s.choose(secs(999), &request(1)).is_ok());
    assert_eq!(s.choose(secs(1000), &request(1)), Err(NoRoute::NoEndpoint));
    let tried = ["e0".to_owned()];
    let again = RouteRequest {
        exclude: &tried,
        ..request(1)
    };
    assert_eq!(s.choose(secs(1), &again), Err(NoRoute::Excluded));
}

/// Guards against work for endpoints that fail or don't answer while others are
/// healthy, and against refusals when none is.
#[test]
fn failing_and_unresponsive_endpoints_are_avoided() {
    let mut s = selector(0, 1, 3, 64);
    for id in 0..2 {
        s.started(secs(1), "e0", id, 10);
        s.finished(secs(1), "e0", id, Outcome::Failed(Failure::FirstByte));
    }
    // An overdue first byte counts before any timeout is reached.
    s.started(secs(1), "e1", 9, 10);
    for f in 0..50 {
        let c = s.choose(secs(5), &request(f)).expect("e2 is healthy");
        assert_eq!(c.endpoint, "e2");
    }
    s.first_byte(secs(5), "e1", 9);
    let chosen: Vec<String> = (0..50)
        .filter_map(|f| s.choose(secs(5), &request(f)).ok())
        .map(|c| c.endpoint)
        .collect();
    assert!(chosen.contains(&"e1".to_owned()) && !chosen.contains(&"e0".to_owned()));
    s.remove("e1");
    s.remove("e2");
    s.remove("e2");
    let left = s
        .choose(secs(5), &request(1))
        .expect("an unhealthy endpoint is better than a refusal");
    assert_eq!(left.endpoint, "e0");
}

/// Guards against an endpoint that is filled beyond the point where the time
/// between tokens exceeds its target of 31 ms.
#[test]
fn slots_are_limited_by_the_gap_target() {
    let mut s = selector(0, 1, 1, 100);
    for seq in 2..40 {
        // 10 ms plus 1 ms for each running request: 21 requests meet the
        // target.
        let running = 5 + (seq % 20) as u32;
        let gap = 0.010 + 0.001 * f64::from(running);
        let mut ep = state(0, seq, 100);
        ep.load_measured_at = secs(seq);
        ep.load = Some(Load {
            running,
            tokens_per_s: f64::from(running) / gap,
            ..Load::default()
        });
        s.update(secs(seq), &ep);
    }
    let slots = s.capacity(secs(50), &request(0)).slots;
    assert!((19..=21).contains(&slots), "{slots}");
}

/// Guards against copies of one request that spread over the fleet when they
/// come through routers that don't communicate.
#[test]
fn copies_stay_within_two_endpoints() {
    for fingerprint in 0..50 {
        let mut used = std::collections::HashSet::new();
        for r in 0..9 {
            let mut s = selector(r, 9, 12, 32);
            for id in 0..3 {
                let c = s
                    .choose(secs(1), &request(fingerprint))
                    .expect("a free slot");
                s.started(secs(1), &c.endpoint, id, 10);
                used.insert(c.endpoint);
            }
        }
        assert!(used.len() <= 2, "{used:?}");
    }
}

/// Guards against copies of a running request that move on to other endpoints
/// because the first one has no free slot: each could crash one more endpoint.
#[test]
fn copies_wait_for_the_endpoint_of_the_first_one() {
    let mut s = selector(0, 1, 4, 2);
    let first = s.choose(secs(1), &request(7)).expect("a free slot");
    s.started(secs(1), &first.endpoint, 0, 10);
    for id in 1..3 {
        let c = s.choose(secs(1), &request(7)).expect("a free slot");
        assert_eq!(c.endpoint, first.endpoint);
        s.started(secs(1), &c.endpoint, id, 10);
    }
    assert!(matches!(
        s.choose(secs(1), &request(7)),
        Err(NoRoute::Full(_))
    ));
    assert!(s.choose(secs(1), &request(8)).is_ok());
    for id in 0..3 {
        s.finished(secs(2), &first.endpoint, id, DONE);
    }
    assert!(s.choose(secs(2), &request(7)).is_ok());
}

/// Guards against copies and suspects that move on to a third endpoint when one
/// of their two dies, before the strike is known.
#[test]
fn suspects_stay_within_two_endpoints_after_a_death() {
    let mut s = selector(0, 1, 6, 8);
    let choose_suspect = |s: &mut PredictiveSelector, at| {
        let suspect = RouteRequest {
            suspect: true,
            ..request(7)
        };
        s.choose(secs(at), &suspect).map(|c| c.endpoint)
    };
    let first = choose_suspect(&mut s, 1).expect("a free slot");
    s.remove(&first);
    let second = choose_suspect(&mut s, 1).expect("a free slot");
    assert_ne!(first, second);
    s.remove(&second);
    assert!(matches!(choose_suspect(&mut s, 2), Err(NoRoute::Full(_))));
    // Other requests are not delayed, and a new pair is chosen after a while.
    assert!(s.choose(secs(2), &request(8)).is_ok());
    assert!(choose_suspect(&mut s, 7).is_ok());
}

/// Guards against prompts that miss the cache that holds their prefix, and
/// against routers that send one prefix to different endpoints.
#[test]
fn all_routers_prefer_the_same_endpoint_for_a_prefix() {
    let mut endpoints = std::collections::HashSet::new();
    for r in 0..9 {
        let mut s = selector(r, 9, 12, 32);
        for id in 0..2 {
            let req = RouteRequest {
                prefix: Some(99),
                ..request(1000 + r as u64 * 10 + id)
            };
            let c = s.choose(secs(1), &req).expect("a free slot");
            endpoints.insert(c.endpoint);
        }
    }
    assert_eq!(endpoints.len(), 1, "{endpoints:?}");
}

/// Guards against attempts that are no longer counted after an endpoint's
/// announcements stopped for a while: they still use its slots.
#[test]
fn running_attempts_survive_a_gap_in_announcements() {
    let mut s = selector(0, 1, 1, 2);
    for id in 0..3 {
        s.started(secs(1), "e0", id, 10);
    }
    s.remove("e0");
    s.update(secs(2), &state(0, 2, 2));
    assert!(matches!(
        s.choose(secs(2), &request(1)),
        Err(NoRoute::Full(_))
    ));
    s.finished(secs(3), "e0", 0, DONE);
    assert!(s.choose(secs(3), &request(1)).is_ok());
}

/// Guards against subsets on which routers disagree and against endpoints that
/// no router uses.
#[test]
fn subsets_have_the_same_size_everywhere() {
    let names: Vec<String> = (0..350).map(|r| format!("r{r}")).collect();
    let mut reversed = names.clone();
    reversed.reverse();
    for e in 0..100 {
        let ep = format!("e{e}");
        let chosen = share::subset(&ep, &names, share::MAX_ROUTERS_PER_ENDPOINT);
        assert_eq!(chosen.len(), 12);
        assert_eq!(
            chosen,
            share::subset(&ep, &reversed, share::MAX_ROUTERS_PER_ENDPOINT)
        );
    }
}

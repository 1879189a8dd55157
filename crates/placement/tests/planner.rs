//! Tests of the planner with noisy demand, changes of leader and endpoints that
//! ignore fencing numbers.

use std::time::Duration;

use anvilloft_placement::Action;
use anvilloft_placement::Demand;
use anvilloft_placement::EndpointView;
use anvilloft_placement::FencingNumber;
use anvilloft_placement::Order;
use anvilloft_placement::OrderReason;
use anvilloft_placement::PlacementConfig;
use anvilloft_placement::Planner;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

/// Returns endpoints that can hold two models and generate 1,000 tokens/s, of
/// which the plan uses 700.
fn fleet(models: &[&[&str]]) -> Vec<EndpointView> {
    models
        .iter()
        .enumerate()
        .map(|(i, models)| EndpointView {
            id: format!("e{i}"),
            incarnation: 1,
            data_centre: format!("dc{}", i % 3),
            models: models.iter().map(|m| (*m).to_string()).collect(),
            max_models: 2,
            tokens_per_s: 1_000.0,
            checks_fencing: true,
            leaving: false,
        })
        .collect()
}

fn demand(list: &[(&str, f64)]) -> Vec<Demand> {
    list.iter()
        .map(|(model, tokens_per_s)| Demand {
            model: (*model).into(),
            tokens_per_s: *tokens_per_s,
        })
        .collect()
}

/// Applies orders to the endpoints.
fn apply_orders(endpoints: &mut [EndpointView], orders: &[Order]) {
    for o in orders {
        for e in endpoints.iter_mut().filter(|e| e.id == o.endpoint) {
            match &o.action {
                Action::Load(m) => e.models.push(m.clone()),
                Action::Unload(m) => e.models.retain(|n| n != m),
            }
            assert!(
                e.models.len() <= e.max_models,
                "{o} exceeds the models that the endpoint can hold"
            );
        }
    }
}

fn loaded_count(endpoints: &[EndpointView], model: &str) -> usize {
    let loaded = |e: &&EndpointView| e.models.iter().any(|m| m == model);
    endpoints.iter().filter(loaded).count()
}

/// Guards against orders that follow noise, and against a plan that doesn't
/// follow a lasting change.
#[test]
fn noise_causes_no_orders_and_a_lasting_change_does() {
    for seed in 0..20 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut endpoints = fleet(&[&["a"], &["a"], &["b"], &["a", "b"], &[], &[]]);
        let mut planner = Planner::new(PlacementConfig::default(), 1, secs(0));
        let mut orders = Vec::new();
        for t in 0..1_800 {
            // Bursts of up to 1.6 times the mean.
            let noise = rng.random_range(0.4..1.6);
            let d = demand(&[
                ("a", 1_600.0 * noise),
                ("b", 1_000.0 * rng.random_range(0.5..1.5)),
            ]);
            let issued = planner.plan(secs(t), secs(t), &d, &endpoints);
            apply_orders(&mut endpoints, &issued);
            orders.extend(issued);
        }
        assert!(orders.len() <= 1, "seed {seed}: {orders:?}");
        let before = loaded_count(&endpoints, "a");
        let mut first = None;
        for t in 1_800..2_400 {
            let d = demand(&[("a", 3_000.0), ("b", 1_000.0)]);
            let issued = planner.plan(secs(t), secs(t), &d, &endpoints);
            first = first.or_else(|| (!issued.is_empty()).then_some(t));
            apply_orders(&mut endpoints, &issued);
        }
        assert!(before <= 4);
        assert_eq!(loaded_count(&endpoints, "a"), 5, "seed {seed}");
        let first = first.unwrap_or(0);
        assert!(
            (1_860..1_980).contains(&first),
            "seed {seed}: after 60 s, at {first}"
        );
    }
}

/// Guards against more loads than the weight store can serve, also when leaders
/// change.
#[test]
fn loads_stay_within_the_weight_store_limit() {
    let cfg = PlacementConfig {
        loads_per_minute: 4,
        ..PlacementConfig::default()
    };
    let mut endpoints = fleet(&[&[] as &[&str]; 40]);
    let d = demand(&[("a", 9_000.0), ("b", 9_000.0), ("c", 9_000.0)]);
    let mut loads = Vec::new();
    let mut planner = Planner::new(cfg.clone(), 1, secs(0));
    for t in 0..900 {
        if t % 170 == 169 {
            planner = Planner::new(cfg.clone(), t, secs(t));
        }
        let orders = planner.plan(secs(t), secs(t), &d, &endpoints);
        loads.extend(orders.iter().map(|_| t));
        apply_orders(&mut endpoints, &orders);
    }
    for (i, t) in loads.iter().enumerate() {
        let window = loads[i..].iter().filter(|u| **u < t + 60).count();
        assert!(window <= 4, "{window} loads in the minute from {t}");
    }
    assert!(loads.len() > 20, "loads went on: {}", loads.len());
    // The old leader may have ordered a load just before the election.
    let empty = fleet(&[&[]]);
    let mut planner = Planner::new(cfg.clone(), 1_000, secs(1_000));
    let first = (1_000..1_100).find(|t| !planner.plan(secs(*t), secs(*t), &d, &empty).is_empty());
    assert_eq!(first, Some(1_015), "one load per 15 s at 4 per minute");
    let stopped = PlacementConfig {
        loads_per_minute: 0,
        ..cfg
    };
    let mut planner = Planner::new(stopped, 2_000, secs(0));
    assert!((0..300).all(|t| planner.plan(secs(t), secs(t), &d, &endpoints).is_empty()));
}

/// Guards against an endpoint that accepts an order after one from a newer
/// leader: fencing numbers increase strictly within a term and across terms.
#[test]
fn fencing_numbers_increase_strictly() {
    let mut endpoints = fleet(&[&[] as &[&str]; 12]);
    let d = demand(&[("a", 2_000.0), ("b", 2_000.0)]);
    let mut last = FencingNumber { term: 0, seq: 0 };
    let mut count = 0;
    for term in 1..6 {
        let start = secs(term * 200);
        let mut planner = Planner::new(PlacementConfig::default(), term, start);
        for t in 0..200 {
            let now = start + secs(t);
            let orders = planner.plan(now, now, &d, &endpoints);
            for o in &orders {
                assert!(o.fencing > last, "{} after {last}", o.fencing);
                last = o.fencing;
                count += 1;
            }
            apply_orders(&mut endpoints, &orders);
        }
        // All weights are dropped, so that each term has orders to give.
        endpoints.iter_mut().for_each(|e| e.models.clear());
    }
    assert!(count > 10);
}

/// Guards against two leaders that both give orders to an endpoint that ignores
/// fencing numbers: the new one waits until the old one's lease has ended, and
/// the old one stops at the end of its lease.
#[test]
fn orders_to_endpoints_without_fencing_stay_within_the_lease() {
    let d = demand(&[("a", 10.0)]);
    for checks_fencing in [true, false] {
        let mut endpoints = fleet(&[&[]]);
        endpoints[0].checks_fencing = checks_fencing;
        let cfg = PlacementConfig {
            loads_per_minute: 600,
            ..PlacementConfig::default()
        };
        let elected = secs(100);
        let mut planner = Planner::new(cfg.clone(), 2, elected);
        let first = (0..200)
            .map(|n| elected + Duration::from_millis(n * 100))
            .find(|t| !planner.plan(*t, *t, &d, &endpoints).is_empty());
        let wait = first.map(|t| t - elected);
        if checks_fencing {
            assert!(wait < Some(secs(1)), "no wait: {wait:?}");
        } else {
            assert!(wait > Some(secs(5)) && wait < Some(secs(6)), "{wait:?}");
        }
        // An old leader that was last confirmed at 50 s.
        let ms = Duration::from_millis;
        let cases = [
            (ms(54_000), true),
            (ms(54_949), true),
            (ms(54_950), checks_fencing),
        ];
        for (now, gives_orders) in cases {
            let mut planner = Planner::new(cfg.clone(), 1, secs(0));
            let orders = planner.plan(now, secs(50), &d, &endpoints);
            assert_eq!(
                !orders.is_empty(),
                gives_orders,
                "{now:?}, checks_fencing {checks_fencing}"
            );
            for o in orders {
                assert_eq!(o.arrive_by.is_none(), checks_fencing);
                assert!(o.arrive_by.is_none_or(|by| by < secs(55)));
            }
        }
    }
}

/// Guards against a model that loses its last endpoints to make room, loads
/// onto leaving endpoints, repeated orders, and orders without their reason.
#[test]
fn only_surplus_models_are_unloaded() {
    let mut endpoints = fleet(&[&["a", "b"], &["a", "b"], &["a", "b"]]);
    endpoints[2].leaving = true;
    let mut planner = Planner::new(PlacementConfig::default(), 1, secs(0));
    let high_demand = demand(&[("a", 1_300.0), ("b", 1_300.0), ("c", 10.0)]);
    for t in 0..300 {
        let orders = planner.plan(secs(t), secs(t), &high_demand, &endpoints);
        assert!(orders.is_empty(), "no endpoint is surplus: {orders:?}");
    }
    // Demand for `a` falls, so one of its endpoints becomes surplus.
    let low_demand = demand(&[("a", 300.0), ("b", 1_300.0), ("c", 10.0)]);
    let mut all = Vec::new();
    for t in 300..600 {
        let orders = planner.plan(secs(t), secs(t), &low_demand, &endpoints);
        // The first order takes effect late and must not be repeated.
        all.extend(orders);
        if t == 480 {
            let issued = std::mem::take(&mut all);
            assert_eq!(issued.len(), 1, "{issued:?}");
            assert_eq!(issued[0].action, Action::Unload("a".into()));
            assert_eq!(
                issued[0].reason,
                OrderReason::MakeRoom { wanted: "c".into() }
            );
            assert_ne!(issued[0].endpoint, "e2");
            apply_orders(&mut endpoints, &issued);
        }
    }
    assert_eq!(all.len(), 1, "{all:?}");
    assert_eq!(all[0].action, Action::Load("c".into()));
    assert_eq!(all[0].reason, OrderReason::NoEndpoint);
    assert!(
        all[0]
            .to_string()
            .contains("load c: no endpoint has the model")
    );
    // An order without effect is issued again after its timeout.
    let orders: Vec<_> = (600..900)
        .flat_map(|t| planner.plan(secs(t), secs(t), &low_demand, &endpoints))
        .collect();
    assert!((1..=2).contains(&orders.len()), "{orders:?}");
}

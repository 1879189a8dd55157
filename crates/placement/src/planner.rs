//! The planner of one leader term.

use std::collections::BTreeMap;
use std::time::Duration;

use anvilloft_types::DataCentre;
use anvilloft_types::EndpointId;
use anvilloft_types::Incarnation;
use anvilloft_types::ModelName;

use crate::order::Action;
use crate::order::FencingNumber;
use crate::order::Order;
use crate::order::OrderReason;

/// Allowance for the drift between two clocks, in percent.
const DRIFT_PERCENT: u32 = 1;
/// Time constant of the smoothed demand. Shorter ones follow single bursts.
const SMOOTHING: Duration = Duration::from_secs(15);

/// Settings of the planner.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementConfig {
    /// How long a leader may give orders to endpoints that ignore fencing
    /// numbers after its leadership was last confirmed.
    pub lease: Duration,
    /// Loads that the weight store bears, a minute. 0 stops all loads.
    pub loads_per_minute: u32,
    /// Change of demand below which the plan stays, in percent.
    pub min_change_percent: u32,
    /// How long the changed demand has to last.
    pub min_change_duration: Duration,
    /// Share of an endpoint's capacity that is planned for, in percent.
    pub target_load_percent: u32,
    /// Time after which an order without effect is given again.
    pub order_timeout: Duration,
}

impl Default for PlacementConfig {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(5),
            loads_per_minute: 6,
            min_change_percent: 30,
            min_change_duration: Duration::from_secs(60),
            target_load_percent: 70,
            order_timeout: Duration::from_secs(180),
        }
    }
}

/// Demand for one model in the whole fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// Name of the model.
    pub model: ModelName,
    /// Tokens a second, refused ones included.
    pub tokens_per_s: f64,
}

/// An endpoint as its announcement shows it.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointView {
    /// Name of the endpoint.
    pub id: EndpointId,
    /// Incarnation of the endpoint.
    pub incarnation: Incarnation,
    /// Data centre of the endpoint.
    pub data_centre: DataCentre,
    /// Models with loaded weights.
    pub models: Vec<ModelName>,
    /// Count of models that it can hold.
    pub max_models: usize,
    /// Tokens a second that it can generate.
    pub tokens_per_s: f64,
    /// Whether it refuses orders with old fencing numbers.
    pub checks_fencing: bool,
    /// Whether it takes no new work.
    pub leaving: bool,
}

#[derive(Debug)]
struct ModelPlan {
    smoothed: f64,
    // Demand at which `needed` was decided; none before the first decision of
    // this term.
    base: Option<f64>,
    needed: usize,
    differs_since: Option<Duration>,
}

#[derive(Debug)]
struct Pending {
    incarnation: Incarnation,
    action: Action,
    given: Duration,
}

/// Plans placement for one term of the control leader.
#[derive(Debug)]
pub struct Planner {
    cfg: PlacementConfig,
    term: u64,
    next_seq: u64,
    started: Duration,
    planned: Duration,
    last_load: Duration,
    models: BTreeMap<ModelName, ModelPlan>,
    // One order at a time for each endpoint.
    pending: BTreeMap<EndpointId, Pending>,
}

impl Planner {
    /// Returns the planner of a leader that was elected in `term` at `now`.
    pub fn new(cfg: PlacementConfig, term: u64, now: Duration) -> Self {
        Self {
            cfg,
            term,
            next_seq: 1,
            started: now,
            planned: now,
            // The old leader may have given a load just before.
            last_load: now,
            models: BTreeMap::new(),
            pending: BTreeMap::new(),
        }
    }

    /// Takes changed settings.
    pub fn set_config(&mut self, cfg: PlacementConfig) {
        self.cfg = cfg;
    }

    /// Returns the orders to give now. `confirmed` is when this leader last
    /// had its leadership confirmed by a majority.
    pub fn plan(
        &mut self,
        now: Duration,
        confirmed: Duration,
        demand: &[Demand],
        endpoints: &[EndpointView],
    ) -> Vec<Order> {
        self.follow_demand(now, demand, endpoints);
        self.drop_pending(now, endpoints);
        let mut orders = Vec::new();
        for model in self.by_urgency(endpoints) {
            self.place(now, confirmed, &model, endpoints, &mut orders);
        }
        orders
    }

    fn follow_demand(&mut self, now: Duration, demand: &[Demand], endpoints: &[EndpointView]) {
        let elapsed = now.saturating_sub(self.planned).as_secs_f64();
        let part = 1.0 - (-elapsed / SMOOTHING.as_secs_f64()).exp();
        self.planned = now;
        for d in demand {
            if !self.models.contains_key(&d.model) {
                // What is loaded is taken as the plan, so that a new leader
                // changes nothing that the demand doesn't ask for.
                let plan = ModelPlan {
                    smoothed: d.tokens_per_s.max(0.0),
                    base: None,
                    needed: loaded(endpoints, &d.model),
                    differs_since: None,
                };
                self.models.insert(d.model.clone(), plan);
            }
        }
        let each = self.each(endpoints);
        let (percent, lasts) = (self.cfg.min_change_percent, self.cfg.min_change_duration);
        for (name, plan) in &mut self.models {
            let fresh = demand
                .iter()
                .find(|d| d.model == *name)
                .map_or(0.0, |d| d.tokens_per_s.max(0.0));
            plan.smoothed += (fresh - plan.smoothed) * part;
            let wants = needed(plan.smoothed, each);
            if plan.needed == 0 && wants > 0 {
                // Requests are refused until one endpoint has the model.
                (plan.needed, plan.differs_since) = (1, None);
            }
            let moved = plan.base.is_none_or(|base| {
                (plan.smoothed - base).abs() > base * f64::from(percent) / 100.0
            });
            if wants == plan.needed || !moved {
                plan.differs_since = None;
                continue;
            }
            let since = *plan.differs_since.get_or_insert(now);
            if now.saturating_sub(since) >= lasts {
                plan.needed = wants;
                plan.base = Some(plan.smoothed);
                plan.differs_since = None;
            }
        }
        // Models without demand and endpoints are forgotten.
        self.models
            .retain(|m, p| p.needed > 0 || p.smoothed > 0.01 || loaded(endpoints, m) > 0);
    }

    // Tokens a second planned for one endpoint: the mean of the fleet.
    fn each(&self, endpoints: &[EndpointView]) -> f64 {
        let sum: f64 = endpoints.iter().map(|e| e.tokens_per_s.max(0.0)).sum();
        let mean = sum / endpoints.len().max(1) as f64;
        mean * f64::from(self.cfg.target_load_percent) / 100.0
    }

    fn drop_pending(&mut self, now: Duration, endpoints: &[EndpointView]) {
        let timeout = self.cfg.order_timeout;
        self.pending.retain(|id, p| {
            let Some(e) = endpoints.iter().find(|e| e.id == *id) else {
                return false;
            };
            let done = match &p.action {
                Action::Load(m) => e.models.contains(m),
                Action::Unload(m) => !e.models.contains(m),
            };
            !done && e.incarnation == p.incarnation && now.saturating_sub(p.given) < timeout
        });
    }

    // Models that lack endpoints: those with none first, then by the share
    // that is missing.
    fn by_urgency(&self, endpoints: &[EndpointView]) -> Vec<ModelName> {
        let mut short: Vec<(usize, usize, &ModelName)> = self
            .models
            .iter()
            .map(|(m, p)| (loaded(endpoints, m), p.needed, m))
            .filter(|(has, needed, _)| has < needed)
            .collect();
        short.sort_by(|a, b| {
            // has/needed, compared without division.
            (a.0 * b.1).cmp(&(b.0 * a.1)).then_with(|| a.2.cmp(b.2))
        });
        short.into_iter().map(|(_, _, m)| m.clone()).collect()
    }

    fn place(
        &mut self,
        now: Duration,
        confirmed: Duration,
        model: &str,
        endpoints: &[EndpointView],
        orders: &mut Vec<Order>,
    ) {
        let has = loaded(endpoints, model);
        let coming = self
            .pending
            .values()
            .filter(|p| matches!(&p.action, Action::Load(m) if m == model))
            .count();
        let (needed, smoothed) = self
            .models
            .get(model)
            .map_or((0, 0.0), |p| (p.needed, p.smoothed));
        for _ in has + coming..needed {
            let reason = if has + coming == 0 {
                OrderReason::NoEndpoint
            } else {
                OrderReason::Demand {
                    tokens_per_s: smoothed as u64,
                    needed,
                    loaded: has,
                }
            };
            if let Some(e) = self.with_room(now, confirmed, model, endpoints) {
                if !self.may_load(now) {
                    return;
                }
                self.last_load = now;
                let action = Action::Load(model.into());
                orders.push(self.order(now, confirmed, e, action, reason));
            } else if let Some((e, surplus)) = self.with_surplus(now, confirmed, model, endpoints) {
                let reason = OrderReason::MakeRoom {
                    wanted: model.into(),
                };
                orders.push(self.order(now, confirmed, e, Action::Unload(surplus), reason));
            } else {
                return;
            }
        }
    }

    // Loads are spaced evenly, so that no window of a minute holds more than
    // the weight store bears, also across a change of leader.
    fn may_load(&self, now: Duration) -> bool {
        match self.cfg.loads_per_minute {
            0 => false,
            n => now.saturating_sub(self.last_load) >= Duration::from_secs(60) / n,
        }
    }

    // Whether an order to the endpoint can be given now, and until when.
    fn window(
        &self,
        now: Duration,
        confirmed: Duration,
        e: &EndpointView,
    ) -> Option<Option<Duration>> {
        if e.leaving || self.pending.contains_key(&e.id) {
            return None;
        }
        if e.checks_fencing {
            return Some(None);
        }
        // The old leader's orders arrive within its lease, and this leader's
        // within its own; between clocks that drift apart.
        let drift = self.cfg.lease * DRIFT_PERCENT / 100;
        let until = (confirmed + self.cfg.lease).saturating_sub(drift);
        (now >= self.started + self.cfg.lease + drift && now < until).then_some(Some(until))
    }

    fn with_room<'e>(
        &self,
        now: Duration,
        confirmed: Duration,
        model: &str,
        endpoints: &'e [EndpointView],
    ) -> Option<&'e EndpointView> {
        let near = |dc: &str| {
            endpoints
                .iter()
                .filter(|e| e.data_centre == dc && e.models.iter().any(|m| m == model))
                .count()
        };
        endpoints
            .iter()
            .filter(|e| self.window(now, confirmed, e).is_some())
            .filter(|e| e.models.len() < e.max_models && !e.models.iter().any(|m| m == model))
            .min_by_key(|e| (near(&e.data_centre), e.models.len(), &e.id))
    }

    fn with_surplus<'e>(
        &self,
        now: Duration,
        confirmed: Duration,
        model: &str,
        endpoints: &'e [EndpointView],
    ) -> Option<(&'e EndpointView, ModelName)> {
        // Unloads under way count, so that a model never falls short.
        let spare = |m: &ModelName| {
            let going = self
                .pending
                .values()
                .filter(|p| p.action == Action::Unload(m.clone()))
                .count();
            let needed = self.models.get(m).map_or(0, |p| p.needed);
            loaded(endpoints, m).saturating_sub(going + needed)
        };
        endpoints
            .iter()
            .filter(|e| self.window(now, confirmed, e).is_some())
            .filter(|e| !e.models.iter().any(|m| m == model))
            .flat_map(|e| e.models.iter().map(move |m| (e, m)))
            .filter(|(_, m)| spare(m) > 0)
            .max_by_key(|(e, m)| (spare(m), std::cmp::Reverse(&e.id)))
            .map(|(e, m)| (e, m.clone()))
    }

    fn order(
        &mut self,
        now: Duration,
        confirmed: Duration,
        e: &EndpointView,
        action: Action,
        reason: OrderReason,
    ) -> Order {
        let arrive_by = self.window(now, confirmed, e).flatten();
        let fencing = FencingNumber {
            term: self.term,
            seq: self.next_seq,
        };
        self.next_seq += 1;
        self.pending.insert(
            e.id.clone(),
            Pending {
                incarnation: e.incarnation,
                action: action.clone(),
                given: now,
            },
        );
        Order {
            fencing,
            endpoint: e.id.clone(),
            action,
            reason,
            arrive_by,
        }
    }
}

// Endpoints that have the model and take new work.
fn loaded(endpoints: &[EndpointView], model: &str) -> usize {
    endpoints
        .iter()
        .filter(|e| !e.leaving && e.models.iter().any(|m| m == model))
        .count()
}

fn needed(tokens_per_s: f64, each: f64) -> usize {
    // Less than a token in 100 s is no demand.
    if tokens_per_s < 0.01 || each <= 0.0 {
        return 0;
    }
    // The cast saturates, and endpoints bound what can be placed.
    ((tokens_per_s / each).ceil() as usize).max(1)
}

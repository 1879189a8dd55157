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
const MAX_CLOCK_DRIFT_PERCENT: u32 = 1;
/// Time constant of the smoothed demand. Shorter ones would follow single
/// bursts.
const DEMAND_SMOOTHING: Duration = Duration::from_secs(15);

/// Settings of the planner.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementConfig {
    /// Time after the last confirmation of its leadership in which a leader may
    /// give orders to endpoints that ignore fencing numbers.
    pub lease: Duration,
    /// Maximum number of loads per minute from the weight store. 0 stops all
    /// loads.
    pub loads_per_minute: u32,
    /// Minimum change of demand that changes the plan, in percent.
    pub min_change_percent: u32,
    /// Minimum time for which a change of demand has to last.
    pub min_change_duration: Duration,
    /// Share of an endpoint's capacity that the plan uses, in percent.
    pub target_load_percent: u32,
    /// Time after which an order without effect is issued again.
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
    /// Tokens per second, including those of refused requests.
    pub tokens_per_s: f64,
}

/// An endpoint as last announced.
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
    /// Maximum number of models that it can hold.
    pub max_models: usize,
    /// Tokens per second that it can generate.
    pub tokens_per_s: f64,
    /// Whether it refuses orders with old fencing numbers.
    pub checks_fencing: bool,
    /// Whether it takes no new work.
    pub leaving: bool,
}

#[derive(Debug)]
struct ModelPlan {
    smoothed_demand: f64,
    /// Demand at which `needed` was decided, or `None` before the first
    /// decision of this term.
    decided_demand: Option<f64>,
    /// Number of endpoints that should have the model.
    needed: usize,
    /// Time since which the demand has needed another number of endpoints.
    changed_since: Option<Duration>,
}

#[derive(Debug)]
struct PendingOrder {
    incarnation: Incarnation,
    action: Action,
    issued_at: Duration,
}

/// Plans placement for one term of the control leader.
#[derive(Debug)]
pub struct Planner {
    cfg: PlacementConfig,
    term: u64,
    next_seq: u64,
    elected_at: Duration,
    last_planned_at: Duration,
    last_load_at: Duration,
    models: BTreeMap<ModelName, ModelPlan>,
    /// At most one pending order for each endpoint.
    pending: BTreeMap<EndpointId, PendingOrder>,
}

impl Planner {
    /// Creates the planner of a leader that was elected in `term` at `now`.
    pub fn new(cfg: PlacementConfig, term: u64, now: Duration) -> Self {
        Self {
            cfg,
            term,
            next_seq: 1,
            elected_at: now,
            last_planned_at: now,
            // The previous leader may have ordered a load just before.
            last_load_at: now,
            models: BTreeMap::new(),
            pending: BTreeMap::new(),
        }
    }

    /// Replaces the settings.
    pub fn set_config(&mut self, cfg: PlacementConfig) {
        self.cfg = cfg;
    }

    /// Returns the orders to send now. `confirmed_at` is when a majority last
    /// confirmed the leadership of this leader.
    pub fn plan(
        &mut self,
        now: Duration,
        confirmed_at: Duration,
        demand: &[Demand],
        endpoints: &[EndpointView],
    ) -> Vec<Order> {
        self.update_demand(now, demand, endpoints);
        self.remove_finished_orders(now, endpoints);
        let mut orders = Vec::new();
        for model in self.by_urgency(endpoints) {
            self.place(now, confirmed_at, &model, endpoints, &mut orders);
        }
        orders
    }

    /// Updates the smoothed demand and the number of endpoints that each model
    /// needs.
    fn update_demand(&mut self, now: Duration, demand: &[Demand], endpoints: &[EndpointView]) {
        let elapsed = now.saturating_sub(self.last_planned_at).as_secs_f64();
        let gain = 1.0 - (-elapsed / DEMAND_SMOOTHING.as_secs_f64()).exp();
        self.last_planned_at = now;
        for d in demand {
            if !self.models.contains_key(&d.model) {
                // The endpoints that have the model become the plan, so that a
                // new leader changes nothing unless the demand requires it.
                let plan = ModelPlan {
                    smoothed_demand: d.tokens_per_s.max(0.0),
                    decided_demand: None,
                    needed: loaded_count(endpoints, &d.model),
                    changed_since: None,
                };
                self.models.insert(d.model.clone(), plan);
            }
        }
        let rate_per_endpoint = self.rate_per_endpoint(endpoints);
        let (min_percent, min_duration) =
            (self.cfg.min_change_percent, self.cfg.min_change_duration);
        for (name, plan) in &mut self.models {
            let current = demand
                .iter()
                .find(|d| d.model == *name)
                .map_or(0.0, |d| d.tokens_per_s.max(0.0));
            plan.smoothed_demand += (current - plan.smoothed_demand) * gain;
            let wanted_endpoints = endpoints_needed(plan.smoothed_demand, rate_per_endpoint);
            if plan.needed == 0 && wanted_endpoints > 0 {
                // Requests are refused until one endpoint has the model.
                (plan.needed, plan.changed_since) = (1, None);
            }
            let changed = plan.decided_demand.is_none_or(|base| {
                (plan.smoothed_demand - base).abs() > base * f64::from(min_percent) / 100.0
            });
            if wanted_endpoints == plan.needed || !changed {
                plan.changed_since = None;
                continue;
            }
            let since = *plan.changed_since.get_or_insert(now);
            if now.saturating_sub(since) >= min_duration {
                plan.needed = wanted_endpoints;
                plan.decided_demand = Some(plan.smoothed_demand);
                plan.changed_since = None;
            }
        }
        // Models with neither demand nor endpoints are removed.
        self.models.retain(|m, p| {
            p.needed > 0 || p.smoothed_demand > 0.01 || loaded_count(endpoints, m) > 0
        });
    }

    /// Returns the tokens per second planned for one endpoint: the mean of the
    /// fleet's capacity times the target load.
    fn rate_per_endpoint(&self, endpoints: &[EndpointView]) -> f64 {
        let sum: f64 = endpoints.iter().map(|e| e.tokens_per_s.max(0.0)).sum();
        let mean = sum / endpoints.len().max(1) as f64;
        mean * f64::from(self.cfg.target_load_percent) / 100.0
    }

    /// Removes pending orders that took effect or timed out, and those of
    /// endpoints that are gone or restarted.
    fn remove_finished_orders(&mut self, now: Duration, endpoints: &[EndpointView]) {
        let timeout = self.cfg.order_timeout;
        self.pending.retain(|id, p| {
            let Some(e) = endpoints.iter().find(|e| e.id == *id) else {
                return false;
            };
            let done = match &p.action {
                Action::Load(m) => e.models.contains(m),
                Action::Unload(m) => !e.models.contains(m),
            };
            !done && e.incarnation == p.incarnation && now.saturating_sub(p.issued_at) < timeout
        });
    }

    /// Returns the models that lack endpoints: those with none first, then by
    /// the missing share.
    fn by_urgency(&self, endpoints: &[EndpointView]) -> Vec<ModelName> {
        let mut lacking: Vec<(usize, usize, &ModelName)> = self
            .models
            .iter()
            .map(|(m, p)| (loaded_count(endpoints, m), p.needed, m))
            .filter(|(loaded, needed, _)| loaded < needed)
            .collect();
        lacking.sort_by(|a, b| {
            // Compares loaded/needed without division.
            (a.0 * b.1).cmp(&(b.0 * a.1)).then_with(|| a.2.cmp(b.2))
        });
        lacking.into_iter().map(|(_, _, m)| m.clone()).collect()
    }

    /// Issues the orders that a model needs now.
    fn place(
        &mut self,
        now: Duration,
        confirmed_at: Duration,
        model: &str,
        endpoints: &[EndpointView],
        orders: &mut Vec<Order>,
    ) {
        let loaded = loaded_count(endpoints, model);
        let loading = self
            .pending
            .values()
            .filter(|p| matches!(&p.action, Action::Load(m) if m == model))
            .count();
        let (needed, smoothed_demand) = self
            .models
            .get(model)
            .map_or((0, 0.0), |p| (p.needed, p.smoothed_demand));
        for _ in loaded + loading..needed {
            let reason = if loaded + loading == 0 {
                OrderReason::NoEndpoint
            } else {
                OrderReason::Demand {
                    tokens_per_s: smoothed_demand as u64,
                    needed,
                    loaded,
                }
            };
            if let Some(e) = self.endpoint_with_space(now, confirmed_at, model, endpoints) {
                if !self.may_load(now) {
                    return;
                }
                self.last_load_at = now;
                let action = Action::Load(model.into());
                orders.push(self.issue_order(now, confirmed_at, e, action, reason));
            } else if let Some((e, surplus)) =
                self.endpoint_with_surplus(now, confirmed_at, model, endpoints)
            {
                let reason = OrderReason::MakeRoom {
                    wanted: model.into(),
                };
                orders.push(self.issue_order(
                    now,
                    confirmed_at,
                    e,
                    Action::Unload(surplus),
                    reason,
                ));
            } else {
                return;
            }
        }
    }

    /// Returns whether a load may be ordered now. Loads are spaced evenly, so
    /// that no minute has more loads than the weight store can serve, even
    /// across a change of leader.
    fn may_load(&self, now: Duration) -> bool {
        match self.cfg.loads_per_minute {
            0 => false,
            n => now.saturating_sub(self.last_load_at) >= Duration::from_secs(60) / n,
        }
    }

    /// Returns whether an order can be given to the endpoint now, as `Some`
    /// with the time by which it must arrive, if there is such a limit.
    fn order_window(
        &self,
        now: Duration,
        confirmed_at: Duration,
        e: &EndpointView,
    ) -> Option<Option<Duration>> {
        if e.leaving || self.pending.contains_key(&e.id) {
            return None;
        }
        if e.checks_fencing {
            return Some(None);
        }
        // Orders of the previous leader arrive within its lease, and those of
        // this leader within its own. The clocks of the two may drift apart.
        let drift = self.cfg.lease * MAX_CLOCK_DRIFT_PERCENT / 100;
        let arrive_by = (confirmed_at + self.cfg.lease).saturating_sub(drift);
        (now >= self.elected_at + self.cfg.lease + drift && now < arrive_by)
            .then_some(Some(arrive_by))
    }

    /// Returns the endpoint to load a model at: one with space for it,
    /// preferably in the data centre that has the fewest endpoints with the
    /// model.
    fn endpoint_with_space<'e>(
        &self,
        now: Duration,
        confirmed_at: Duration,
        model: &str,
        endpoints: &'e [EndpointView],
    ) -> Option<&'e EndpointView> {
        let loaded_in = |dc: &str| {
            endpoints
                .iter()
                .filter(|e| e.data_centre == dc && e.models.iter().any(|m| m == model))
                .count()
        };
        endpoints
            .iter()
            .filter(|e| self.order_window(now, confirmed_at, e).is_some())
            .filter(|e| e.models.len() < e.max_models && !e.models.iter().any(|m| m == model))
            .min_by_key(|e| (loaded_in(&e.data_centre), e.models.len(), &e.id))
    }

    /// Returns an endpoint that can make space for a model, with the model to
    /// unload there: the one that exceeds its needed endpoints by the most.
    fn endpoint_with_surplus<'e>(
        &self,
        now: Duration,
        confirmed_at: Duration,
        model: &str,
        endpoints: &'e [EndpointView],
    ) -> Option<(&'e EndpointView, ModelName)> {
        // Pending unloads count, so that a model never gets too few endpoints.
        let surplus_of = |m: &ModelName| {
            let unloading = self
                .pending
                .values()
                .filter(|p| p.action == Action::Unload(m.clone()))
                .count();
            let needed = self.models.get(m).map_or(0, |p| p.needed);
            loaded_count(endpoints, m).saturating_sub(unloading + needed)
        };
        endpoints
            .iter()
            .filter(|e| self.order_window(now, confirmed_at, e).is_some())
            .filter(|e| !e.models.iter().any(|m| m == model))
            .flat_map(|e| e.models.iter().map(move |m| (e, m)))
            .filter(|(_, m)| surplus_of(m) > 0)
            .max_by_key(|(e, m)| (surplus_of(m), std::cmp::Reverse(&e.id)))
            .map(|(e, m)| (e, m.clone()))
    }

    /// Issues an order and records it as pending.
    fn issue_order(
        &mut self,
        now: Duration,
        confirmed_at: Duration,
        e: &EndpointView,
        action: Action,
        reason: OrderReason,
    ) -> Order {
        let arrive_by = self.order_window(now, confirmed_at, e).flatten();
        let fencing = FencingNumber {
            term: self.term,
            seq: self.next_seq,
        };
        self.next_seq += 1;
        self.pending.insert(
            e.id.clone(),
            PendingOrder {
                incarnation: e.incarnation,
                action: action.clone(),
                issued_at: now,
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

/// Returns the number of endpoints that have the model and take new work.
fn loaded_count(endpoints: &[EndpointView], model: &str) -> usize {
    endpoints
        .iter()
        .filter(|e| !e.leaving && e.models.iter().any(|m| m == model))
        .count()
}

/// Returns the number of endpoints that a demand needs.
fn endpoints_needed(tokens_per_s: f64, rate_per_endpoint: f64) -> usize {
    // Less than one token per 100 s counts as no demand.
    if tokens_per_s < 0.01 || rate_per_endpoint <= 0.0 {
        return 0;
    }
    // The cast saturates, and the number of endpoints limits what can be
    // placed.
    ((tokens_per_s / rate_per_endpoint).ceil() as usize).max(1)
}

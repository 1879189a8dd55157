//! Handling of the control leader's load and unload orders by a fake engine.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use anvilloft_types::lock;
use http::StatusCode;
use serde_json::Value;
use volo_http::response::Response;

use crate::engine::Shared;
use crate::engine::json_response;
use crate::model::sleep_nonzero;

#[derive(Default)]
struct State {
    models: Vec<String>,
    /// Term and sequence number of the highest order accepted.
    last_fencing: (u64, u64),
    accepted: u64,
    refused: u64,
}

/// Loaded models and the highest fencing number accepted.
pub(crate) struct Orders(Mutex<State>);

impl Orders {
    pub(crate) fn new(models: Vec<String>) -> Self {
        Self(Mutex::new(State {
            models,
            ..State::default()
        }))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.0)
    }

    pub(crate) fn models(&self) -> Vec<String> {
        self.lock().models.clone()
    }

    pub(crate) fn counts(&self) -> (u64, u64) {
        let state = self.lock();
        (state.accepted, state.refused)
    }

    /// Accepts an order, unless `checks` is set and its fencing number is not above
    /// the last one.
    fn accept(&self, fencing: (u64, u64), checks: bool) -> bool {
        let mut state = self.lock();
        if checks && fencing <= state.last_fencing {
            state.refused += 1;
            return false;
        }
        state.last_fencing = state.last_fencing.max(fencing);
        state.accepted += 1;
        true
    }
}

/// Responds to an order. Loading a model continues after the response.
pub(crate) fn answer(shared: &Arc<Shared>, body: &[u8]) -> Response {
    let order: Value = serde_json::from_slice(body).unwrap_or_default();
    let number = |name: &str| order["fencing"][name].as_u64();
    let (Some(term), Some(seq)) = (number("term"), number("seq")) else {
        return json_response(StatusCode::BAD_REQUEST, "{}");
    };
    if order["endpoint"] != shared.options.id.as_str() {
        return json_response(StatusCode::NOT_FOUND, "{}");
    }
    let (load, unload) = (order["load"].as_str(), order["unload"].as_str());
    if load.is_some() == unload.is_some() {
        return json_response(StatusCode::BAD_REQUEST, "{}");
    }
    let checks = shared.options.checks_fencing;
    if !shared.orders.accept((term, seq), checks) {
        return json_response(StatusCode::CONFLICT, "{\"error\":\"old fencing number\"}");
    }
    if let Some(model) = unload {
        shared.orders.lock().models.retain(|m| m != model);
    }
    if let Some(model) = load.map(str::to_owned) {
        let shared = Arc::clone(shared);
        tokio::spawn(async move {
            sleep_nonzero(shared.options.load_time).await;
            let mut state = shared.orders.lock();
            if !state.models.contains(&model) {
                state.models.push(model);
            }
        });
    }
    json_response(StatusCode::OK, "{}")
}

//! Orders of the control leader to a fake engine.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use anvilloft_types::lock;
use http::StatusCode;
use serde_json::Value;
use volo_http::response::Response;

use crate::engine::Shared;
use crate::engine::text;
use crate::model::pause;

#[derive(Default)]
struct State {
    models: Vec<String>,
    /// Term and number of the last order that was taken.
    last: (u64, u64),
    taken: u64,
    refused: u64,
}

/// Loaded models and the last order.
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
        (state.taken, state.refused)
    }

    /// Takes an order unless its number is old and numbers are checked.
    fn take(&self, fencing: (u64, u64), checks: bool) -> bool {
        let mut state = self.lock();
        if checks && fencing <= state.last {
            state.refused += 1;
            return false;
        }
        state.last = state.last.max(fencing);
        state.taken += 1;
        true
    }
}

/// Answers an order. A load goes on after the answer.
pub(crate) fn answer(shared: &Arc<Shared>, body: &[u8]) -> Response {
    let order: Value = serde_json::from_slice(body).unwrap_or_default();
    let number = |name: &str| order["fencing"][name].as_u64();
    let (Some(term), Some(seq)) = (number("term"), number("seq")) else {
        return text(StatusCode::BAD_REQUEST, "{}");
    };
    if order["endpoint"] != shared.options.id.as_str() {
        return text(StatusCode::NOT_FOUND, "{}");
    }
    let (load, unload) = (order["load"].as_str(), order["unload"].as_str());
    if load.is_some() == unload.is_some() {
        return text(StatusCode::BAD_REQUEST, "{}");
    }
    let checks = shared.options.checks_fencing;
    if !shared.orders.take((term, seq), checks) {
        return text(StatusCode::CONFLICT, "{\"error\":\"old fencing number\"}");
    }
    if let Some(model) = unload {
        shared.orders.lock().models.retain(|m| m != model);
    }
    if let Some(model) = load.map(str::to_owned) {
        let shared = Arc::clone(shared);
        tokio::spawn(async move {
            pause(shared.options.load_time).await;
            let mut state = shared.orders.lock();
            if !state.models.contains(&model) {
                state.models.push(model);
            }
        });
    }
    text(StatusCode::OK, "{}")
}

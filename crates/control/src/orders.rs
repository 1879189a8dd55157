//! Sends orders to endpoints by HTTP.

use std::sync::Arc;
use std::time::Duration;

use anvilloft_placement::Action;
use serde_json::json;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::runtime;
use tokio::sync::Semaphore;
use volo::net::Address;
use volo_http::client::Client;
use volo_http::client::ClientBuilder;

use crate::driver::DriverStats;
use crate::driver::EndpointOrder;

/// Orders that are being sent at once, at most. One beyond is dropped; the
/// planner gives it again.
const MAX_ORDERS: usize = 64;
/// Time for one order and its answer. An endpoint answers before it has loaded.
const LIMIT: Duration = Duration::from_secs(2);

/// Sends orders.
pub(crate) struct OrderSender {
    client: Option<Client>,
    running: Arc<Semaphore>,
    log: Logger,
}

impl OrderSender {
    pub(crate) fn new(log: Logger) -> Self {
        let mut builder = ClientBuilder::new();
        builder.set_request_timeout(LIMIT);
        let client = builder
            .build()
            .map_err(|err| warn!(log, "no HTTP client for orders"; "error" => %err))
            .ok();
        Self {
            client,
            running: Arc::new(Semaphore::new(MAX_ORDERS)),
            log,
        }
    }

    /// Sends an order in the background and counts its result.
    pub(crate) fn send(
        &self,
        runtime: &runtime::Handle,
        order: EndpointOrder,
        count: impl FnOnce(fn(&DriverStats) -> &std::sync::atomic::AtomicU64) + Send + 'static,
    ) {
        let (Some(client), Ok(permit)) = (
            self.client.clone(),
            Arc::clone(&self.running).try_acquire_owned(),
        ) else {
            warn!(self.log, "order dropped"; "order" => %order.order);
            return count(|s| &s.orders_failed);
        };
        let log = self.log.clone();
        // What can't arrive in time is dropped: a new leader may give orders.
        let limit = order
            .arrive_within
            .map_or(LIMIT, |within| within.min(LIMIT));
        // The time counts from here, also when the task starts late.
        let until = tokio::time::Instant::now() + limit;
        runtime.spawn(async move {
            let result = match tokio::time::timeout_at(until, post(&client, &order)).await {
                Ok(result) => result,
                Err(_) => Err("no answer in time".to_owned()),
            };
            match result {
                Ok(()) => {
                    info!(log, "order taken"; "order" => %order.order);
                    count(|s| &s.orders_accepted);
                }
                Err(reason) => {
                    warn!(log, "order failed"; "order" => %order.order, "reason" => reason);
                    count(|s| &s.orders_failed);
                }
            }
            drop(permit);
        });
    }
}

async fn post(client: &Client, order: &EndpointOrder) -> Result<(), String> {
    let o = &order.order;
    let mut body = json!({
        "endpoint": o.endpoint,
        "fencing": { "term": o.fencing.term, "seq": o.fencing.seq },
    });
    match &o.action {
        Action::Load(model) => body["load"] = json!(model),
        Action::Unload(model) => body["unload"] = json!(model),
    }
    let response = client
        .request(
            http::Method::POST,
            format!("http://{}/v1/orders", order.address),
        )
        .address(Address::from(order.address))
        .header(http::header::CONTENT_TYPE, "application/json")
        .data(body.to_string())
        .send()
        .await
        .map_err(|err| err.to_string())?;
    match response.status() {
        status if status.is_success() => Ok(()),
        status => Err(format!("status {status}")),
    }
}

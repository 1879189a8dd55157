//! Sends placement orders to endpoints over HTTP.

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

/// Maximum number of orders in flight. Further ones are dropped; the planner
/// issues them again.
const MAX_IN_FLIGHT_ORDERS: usize = 64;
/// Timeout of one order. An endpoint answers before it has loaded the model.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends placement orders to endpoints.
pub(crate) struct OrderSender {
    client: Option<Client>,
    in_flight: Arc<Semaphore>,
    log: Logger,
}

impl OrderSender {
    pub(crate) fn new(log: Logger) -> Self {
        let mut builder = ClientBuilder::new();
        builder.set_request_timeout(ORDER_TIMEOUT);
        let client = builder
            .build()
            .map_err(|err| warn!(log, "can't create the HTTP client for orders"; "error" => %err))
            .ok();
        Self {
            client,
            in_flight: Arc::new(Semaphore::new(MAX_IN_FLIGHT_ORDERS)),
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
            Arc::clone(&self.in_flight).try_acquire_owned(),
        ) else {
            warn!(self.log, "order dropped: too many in flight or no HTTP client";
                "order" => %order.order);
            return count(|s| &s.orders_failed);
        };
        let log = self.log.clone();
        // An order that can't arrive in time is dropped, because a new leader
        // may issue orders after that.
        let timeout = order
            .arrive_within
            .map_or(ORDER_TIMEOUT, |within| within.min(ORDER_TIMEOUT));
        // The timeout starts here, even if the task is started late.
        let deadline = tokio::time::Instant::now() + timeout;
        runtime.spawn(async move {
            let result = match tokio::time::timeout_at(deadline, post(&client, &order)).await {
                Ok(result) => result,
                Err(_) => Err("the endpoint did not answer in time".to_owned()),
            };
            match result {
                Ok(()) => {
                    info!(log, "order accepted"; "order" => %order.order);
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

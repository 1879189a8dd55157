//! HTTP API for callers, and the HTTP client for endpoints.
//!
//! `api` routes callers' requests to their handlers. `completions` handles
//! model requests and `service` handles calls of plain services; both send
//! requests to endpoints through `client` and ask the control thread for
//! admission and endpoints through `core_handle`. `sse` parses event streams.
//! `view` is the snapshot of configuration and routers that traffic threads
//! read. `silence` decides how long to wait for an endpoint, and `notice` reads
//! whether an endpoint wants further requests. `serve` runs a volo-http service on a listener; `connection` records
//! what is known about one connection.

pub mod announce;
pub mod answer_memory;
pub mod api;
mod auth;
pub mod body;
mod chunk_buffer;
pub mod client;
mod completions;
mod connection;
pub mod core_handle;
mod counting_stream;
pub mod error;
mod guards;
pub mod memory;
pub mod metrics;
mod model_request;
pub mod notice;
pub mod serve;
mod service;
pub mod silence;
pub mod sse;
pub mod view;

pub use answer_memory::AnswerMemory;
pub use api::Api;
pub use api::ApiOptions;
pub use core_handle::CoreHandle;
pub use core_handle::CoreMsg;
pub use error::Refusal;
pub use memory::BodyMemory;
pub use view::View;

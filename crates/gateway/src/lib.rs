//! Callers' HTTP and the client towards endpoints.
//!
//! `api` answers callers. `chat` runs model requests and `service` runs calls
//! of plain services; both reach endpoints through `client`, read streams with
//! `sse`, and ask the control thread for decisions through `ports`. `view` is
//! what traffic threads know of the configuration. `serve` runs a volo-http
//! service on a listener.

pub mod announce;
pub mod api;
mod auth;
pub mod body;
mod chat;
pub mod client;
pub mod error;
pub mod memory;
pub mod metrics;
mod model_request;
mod pieces;
pub mod ports;
mod running;
pub mod serve;
mod service;
pub mod sse;
pub mod view;

pub use api::Api;
pub use api::ApiOptions;
pub use error::Refusal;
pub use memory::BodyMemory;
pub use ports::CoreHandle;
pub use ports::CoreMsg;
pub use view::View;

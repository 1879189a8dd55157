//! Chooses the endpoint of a routed request.
//!
//! - `endpoint`: state of one endpoint, as seen by this router.
//! - `health`: tracks an endpoint's failures and decides when to avoid it.
//! - `cache`: estimates which prompt parts an engine has cached.
//! - `crashes`: requests that may have crashed an endpoint, and those in quarantine.
//! - `cold`: requests that an endpoint may get while it is cold.
//! - `config`: configuration of a dispatcher.
//! - `dispatcher`: chooses an endpoint; `peers` in it takes other routers' reports, and
//!   `cold` tracks cold endpoints, `evacuation` leaves out the endpoints of evacuated data
//!   centres, `evidence` tells which silent endpoints may be dead, and `engines` chooses
//!   engines.
//! - `occupancy`: bounds the requests in flight at the router.
//! - `prompt_order`: order of long and short prompts at one engine.
//! - `speed`: learns how many prompt tokens engines process per second.
//! - `retry`: limits retries to a share of the requests.
//! - `stop`: decides which requests are passed on during a planned stop.
//! - `shed`: load shedding when the router's processor is overloaded.
//! - `handover`: decides when a request leaves a silent endpoint.
//! - `link`: detects a saturated network link of the router, and sheds load
//!   while it lasts.
//!
//! Time and random draws are passed in; nothing here reads a clock or does I/O.

mod cache;
mod cold;
mod config;
mod crashes;
mod dispatcher;
mod endpoint;
mod handover;
mod health;
mod link;
mod occupancy;
mod prompt_order;
mod retry;
mod shed;
mod speed;
mod stop;

pub use cache::PromptPart;
pub use cold::ColdCause;
pub use cold::ColdDecision;
pub use cold::ColdLimit;
pub use cold::ColdShare;
pub use cold::ColdView;
pub use cold::Warmth;
pub use config::DispatcherConfig;
pub use config::Region;
pub use crashes::BrokenRequest;
pub use crashes::CrashWatch;
pub use crashes::CrashedEndpoint;
pub use crashes::QuarantineList;
pub use crashes::ReportedRequest;
pub use crashes::ReportedTrait;
pub use crashes::RequestTraits;
pub use dispatcher::ColdChange;
pub use dispatcher::DispatchRequest;
pub use dispatcher::Dispatcher;
pub use dispatcher::EvacuationChange;
pub use dispatcher::EvacuationList;
pub use dispatcher::NoEndpoint;
pub use dispatcher::Pick;
pub use dispatcher::Reason;
pub use endpoint::Announcement;
pub use endpoint::Change;
pub use endpoint::EngineLoad;
pub use endpoint::Outcome;
pub use endpoint::RANKS;
pub use endpoint::SentPrompt;
pub use handover::Evidence;
pub use handover::KeepReason;
pub use handover::SentState;
pub use handover::SilenceTimer;
pub use handover::sound_engine_wait;
pub use link::LINK_INTERVAL;
pub use link::LinkDelay;
pub use occupancy::accepts_request;
pub use prompt_order::ENGINE_LEVELS;
pub use prompt_order::OrderedPrompt;
pub use prompt_order::engine_level;
pub use retry::RetryBudget;
pub use shed::LoadShedder;
pub use speed::EngineSpeed;
pub use speed::ServiceSpeed;
pub use speed::SpeedSample;
pub use stop::StopSchedule;
pub use stop::StoppingRequest;

//! Settings of the daemons: one INI file each, checked as a whole at the start.
//!
//! `declare` holds the macro that generates a settings type, its builder, its INI
//! reader and its printed defaults from one table. `router` and `control` hold
//! the tables.

mod control;
mod declare;
mod error;
mod router;
mod secret;
mod value;

pub use control::ControlSettings;
pub use control::ControlSettingsBuilder;
pub use declare::SettingSpec;
pub use error::Fault;
pub use error::SettingsError;
pub use router::RouterSettings;
pub use router::RouterSettingsBuilder;
pub use secret::Secret;
pub use value::GroupStart;
pub use value::LogFormat;
pub use value::LogLevel;

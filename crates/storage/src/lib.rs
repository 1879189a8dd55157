//! Keeps what a control member must not forget: its identity, term and vote,
//! log and snapshots.
//!
//! [`Store`] writes through the [`Disk`] trait. [`RealDisk`] is a folder;
//! [`MemDisk`] is memory that loses unsynced writes on demand, for tests.
//!
//! Nothing counts as kept before it is synced. After a failed write or sync
//! the content of the file is unknown, so the store refuses all further work.

mod disk;
mod memory;
mod record;
mod store;

pub use disk::Disk;
pub use disk::RealDisk;
pub use memory::MemDisk;
pub use store::StorageError;
pub use store::Store;
pub use store::load_or_create_member_id;

//! Durable storage of a control member: its id, term and vote, log and snapshots.
//!
//! [`Store`] writes through the [`Disk`] trait. [`RealDisk`] implements it on a
//! folder; [`MemDisk`] implements it in memory and injects faults such as loss of
//! unsynced writes, for tests.
//!
//! Data is durable only once it is synced. After a failed write or sync the
//! content of the file is unknown, so the store rejects all further operations.

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

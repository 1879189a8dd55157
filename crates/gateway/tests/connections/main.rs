//! Connections of callers over real sockets.

#![expect(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed set-up fails the test"
)]

mod closes;
mod common;
mod ends;
mod refusals;

//! Tests for the limit on request bodies in memory.

use std::sync::Barrier;
use std::thread;

use anvilloft_gateway::BodyMemory;
use prometheus::IntGauge;

const CHUNKS_PER_BODY: usize = 10;
const CHUNK_BYTES: usize = 10;

/// Guards against refusing both of two bodies that arrive together, each because of
/// the bytes that the other one has in memory.
#[test]
fn one_of_two_concurrent_bodies_fits() -> Result<(), prometheus::Error> {
    let gauge = IntGauge::new("bytes", "bytes")?;
    let memory = BodyMemory::new(150, gauge.clone());
    for round in 0..2_000 {
        let barrier = Barrier::new(2);
        let receive_body = || {
            let mut guard = memory.guard();
            barrier.wait();
            let fits = (0..CHUNKS_PER_BODY).all(|_| guard.grow(CHUNK_BYTES).is_ok());
            // Keeps the guard until both bodies have arrived or been refused.
            barrier.wait();
            fits
        };
        let fits = thread::scope(|s| {
            let threads = [s.spawn(receive_body), s.spawn(receive_body)];
            threads.map(|t| t.join().unwrap_or_default())
        });
        assert!(fits[0] != fits[1], "round {round}: {fits:?}");
        assert_eq!(gauge.get(), 0, "round {round}");
    }
    Ok(())
}

/// Guards against bytes that stay counted after their request has ended, and
/// against overflow by a body of unbounded length.
#[test]
fn dropped_bodies_release_their_bytes() -> Result<(), prometheus::Error> {
    let gauge = IntGauge::new("bytes", "bytes")?;
    let memory = BodyMemory::new(150, gauge.clone());
    let mut first = memory.guard();
    assert!(first.grow(150).is_ok());
    let mut second = memory.guard();
    assert!(second.grow(1).is_err());
    assert!(second.grow(usize::MAX).is_err());
    assert_eq!(gauge.get(), 150);
    drop(first);
    assert!(second.grow(150).is_ok());
    drop(second);
    assert_eq!(gauge.get(), 0);
    Ok(())
}

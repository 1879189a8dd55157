//! The bound on request bodies in memory.

use std::sync::Barrier;
use std::thread;

use anvilloft_gateway::BodyMemory;
use prometheus::IntGauge;

const PIECES: usize = 10;
const PIECE: usize = 10;

/// Guards against two bodies that arrive together and are both refused, each
/// for the room that the other one took.
#[test]
fn one_of_two_bodies_that_arrive_together_fits() -> Result<(), prometheus::Error> {
    let gauge = IntGauge::new("bytes", "bytes")?;
    let memory = BodyMemory::new(150, gauge.clone());
    for round in 0..2_000 {
        let barrier = Barrier::new(2);
        let arrive = || {
            let mut held = memory.hold();
            barrier.wait();
            let fits = (0..PIECES).all(|_| held.add(PIECE).is_ok());
            // Both bodies count until both have arrived.
            barrier.wait();
            fits
        };
        let fits = thread::scope(|s| {
            let threads = [s.spawn(arrive), s.spawn(arrive)];
            threads.map(|t| t.join().unwrap_or_default())
        });
        assert!(fits[0] != fits[1], "round {round}: {fits:?}");
        assert_eq!(gauge.get(), 0, "round {round}");
    }
    Ok(())
}

/// Guards against room that a body keeps after its request has ended, and
/// against a body without end.
#[test]
fn room_comes_back() -> Result<(), prometheus::Error> {
    let gauge = IntGauge::new("bytes", "bytes")?;
    let memory = BodyMemory::new(150, gauge.clone());
    let mut first = memory.hold();
    assert!(first.add(150).is_ok());
    let mut second = memory.hold();
    assert!(second.add(1).is_err());
    assert!(second.add(usize::MAX).is_err());
    assert_eq!(gauge.get(), 150);
    drop(first);
    assert!(second.add(150).is_ok());
    drop(second);
    assert_eq!(gauge.get(), 0);
    Ok(())
}

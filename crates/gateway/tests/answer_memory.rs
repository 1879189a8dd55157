//! Tests for the limit on the memory of endpoints' answers.

use std::time::Duration;

use anvilloft_gateway::AnswerMemory;
use anvilloft_gateway::answer_memory::AnswerShares;
use anvilloft_gateway::answer_memory::UNCOUNTED_BYTES;
use bytes::Bytes;
use prometheus::IntGauge;
use proptest::prelude::*;

const MIB: usize = 1 << 20;

proptest! {
    /// Guards against a sum of answers above the limit, and against an answer that leaves
    /// less room than it takes.
    #[test]
    fn answers_stay_within_their_limit(sizes in proptest::collection::vec((0..20_usize, 0..20_000_usize), 1..400)) {
        const MAX: usize = 50_000;
        let mut shares = AnswerShares::new(MAX);
        let mut answers = [0; 20];
        for (n, to) in sizes {
            if shares.resize(answers[n], to) {
                let free = MAX - shares.used();
                prop_assert!(to <= answers[n] || to <= free, "{} left {} free", to, free);
                answers[n] = to;
            } else {
                prop_assert!(to > answers[n], "an answer could not shrink");
            }
            prop_assert_eq!(shares.used(), answers.iter().sum::<usize>());
            prop_assert!(shares.used() <= MAX);
        }
    }
}

/// Guards against answers that wait for one another for ever when none of them fits.
#[tokio::test]
async fn answers_that_exceed_the_limit_together_end_one_after_the_other() {
    let gauge = IntGauge::new("answers", "answers").unwrap();
    let memory = AnswerMemory::new(MIB, 1, gauge.clone());
    let mut tasks = Vec::new();
    for _ in 0..50 {
        let memory = memory.clone();
        tasks.push(tokio::spawn(async move {
            let mut charge = memory.charge();
            for part in 1..=64 {
                charge.resize(part * MIB / 16).await;
                tokio::task::yield_now().await;
            }
        }));
    }
    for task in tasks {
        let ended = tokio::time::timeout(Duration::from_secs(10), task).await;
        ended.unwrap().unwrap();
    }
    assert_eq!(gauge.get(), 0);
}

/// Guards against small answers that wait behind large ones, and against memory that is
/// released while an answer is still being sent.
#[tokio::test]
async fn an_answer_is_counted_until_its_bytes_are_dropped() {
    let gauge = IntGauge::new("answers", "answers").unwrap();
    let memory = AnswerMemory::new(MIB, 1, gauge.clone());
    let mut large = memory.charge();
    large.resize(8 * MIB).await;
    let bytes = large.attach(Bytes::from(vec![0; 8 * MIB]));
    assert!(memory.charge().try_resize(UNCOUNTED_BYTES));
    assert!(memory.charge().try_resize(MIB / 4));
    let mut other = memory.charge();
    assert!(!other.try_resize(MIB));
    let part = bytes.slice(..10);
    drop(bytes);
    let waits = tokio::time::timeout(Duration::from_millis(20), other.resize(MIB));
    assert!(waits.await.is_err());
    assert!(gauge.get() > 7 * MIB as i64);
    drop(part);
    let waits = tokio::time::timeout(Duration::from_secs(5), other.resize(MIB));
    assert!(waits.await.is_ok());
    drop(other);
    assert_eq!(gauge.get(), 0);
}

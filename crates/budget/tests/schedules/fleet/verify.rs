//! Checks after each step and at the end of a schedule.

use super::*;

impl Fleet {
    pub(super) fn check_invariants(&mut self) {
        self.ledger.assert_invariants();
        for (budget, _) in BUDGETS {
            let a = self.ledger.amounts(budget).expect("the budget exists");
            let topped_up = self.model.topped_up.get(budget).copied().unwrap_or(0);
            assert_eq!(i128::from(a.topped_up), topped_up, "{budget}: top-ups");
            assert_eq!(
                a.topped_up,
                a.unspent + a.allotted + a.settled,
                "{budget}: unspent, allotted and settled tokens add up to the top-ups"
            );
            let billed = self.model.billed.get(budget).copied().unwrap_or(0);
            assert_eq!(a.settled + a.written_off, billed, "{budget}: billed once");
        }
        for p in self.processes.iter().flatten().filter(|p| !p.closed) {
            let id = p.id();
            for (budget, _) in BUDGETS {
                let holders = self.ledger.holders(budget);
                let Some((_, _, allotted)) =
                    holders.iter().find(|(r, n, _)| *r == id.0 && *n == id.1)
                else {
                    if self.ledger.is_incarnation_open(&id.0, id.1) {
                        let h = p.allotments.holding(budget);
                        assert_eq!(
                            h.idle + h.reserved,
                            0,
                            "{budget}: tokens held without an allotment"
                        );
                    }
                    continue;
                };
                let h = p.allotments.holding(budget);
                let applied = self.model.applied.get(&(id.clone(), budget.into()));
                let unapplied = p.settled.get(budget).unwrap_or(&0) - applied.unwrap_or(&0);
                assert!(
                    *allotted >= h.idle + h.reserved + unapplied,
                    "{budget}: {id:?} holds more than its allotment"
                );
            }
        }
        let (revision, directory) = (
            self.ledger.config().revision(),
            self.ledger.directory_version(),
        );
        assert!(revision >= self.model.revision, "the revision went down");
        assert!(
            directory >= self.model.directory,
            "the directory version went down"
        );
        (self.model.revision, self.model.directory) = (revision, directory);
    }

    // Heals all faults, ends all work and lets every hold time expire.
    pub(super) fn settle_down(&mut self) {
        self.quiescent = true;
        for i in 0..ROUTERS {
            if self.faults == Faults::Many {
                self.partitioned_until[i] = Duration::ZERO;
            }
            self.down_until[i] = Duration::ZERO;
        }
        for round in 0..400 {
            self.step();
            self.now += Duration::from_millis(if round % 20 == 0 { 6_000 } else { 100 });
            for i in 0..ROUTERS {
                let now = self.now;
                if let Some(p) = &mut self.processes[i] {
                    while !p.in_flight.is_empty() {
                        if let Some((_, used)) = p.finish_one(now, &mut self.rng) {
                            self.outcome.served += used;
                        }
                    }
                    if round > 200 {
                        p.allotments.drain(now);
                    }
                }
            }
        }
    }

    pub(super) fn finish(mut self) -> Outcome {
        for p in self.processes.iter().flatten() {
            assert_eq!(
                self.unapplied(p),
                0,
                "{:?} did not report everything",
                p.id()
            );
            if p.opened {
                assert!(p.allotments.is_settled(), "{:?} holds tokens", p.id());
                assert!(
                    p.needs.is_empty(),
                    "{:?} left needs without an answer",
                    p.id()
                );
            }
        }
        self.outcome.orders_run = self.model.executed.values().map(|n| u64::from(*n)).sum();
        for (budget, _) in BUDGETS {
            let a = self.ledger.amounts(budget).expect("the budget exists");
            assert_eq!(
                a.allotted,
                0,
                "{budget}: an allotment is left at {:?}; lost: {:?}",
                self.ledger.holders(budget),
                self.ledger.lost_incarnations()
            );
            self.outcome.written_off += a.written_off;
            if self.faults == Faults::Single {
                assert_eq!(a.written_off, 0, "{budget}: a settlement came too late");
            }
        }
        for (id, (settled, copied)) in &self.model.dead {
            for (budget, settled) in settled {
                let applied = self.model.applied.get(&(id.clone(), budget.clone()));
                let lost = settled - applied.unwrap_or(&0);
                self.outcome.lost += lost;
                if self.faults == Faults::Single {
                    // Only settlements of the last 20 ms before the crash can be lost,
                    // because the peer can't have a copy of them yet.
                    let uncopied = settled - copied.get(budget).unwrap_or(&0);
                    assert!(
                        lost <= uncopied,
                        "{id:?} {budget}: a copied settlement was lost"
                    );
                }
            }
        }
        self.outcome
    }
}

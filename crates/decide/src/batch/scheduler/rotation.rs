//! Which of the steps that full passes skip are visited all the same.
//!
//! A pass gives up a queue after some steps that could not be placed, since the search is slow with
//! many waiting steps. Nothing of a skipped step changes when room appears for it. So each full pass
//! also visits a part of what it has skipped, and comes round to every such step.

use std::collections::BTreeSet;

use super::super::StepId;
use super::super::order::Rank;

/// In how many full passes each skipped step is visited once. A step that is skipped during a round
/// waits for the next one, so its turn comes after two rounds at the latest.
const ROUND_PASSES: usize = 10;

/// The least number of skipped steps that a full pass visits.
const MIN_VISITS: usize = 16;

/// The largest number of skipped steps that a full pass visits, so that its cost stays bounded.
const MAX_VISITS: usize = 64;

/// The skipped steps that have not had their turn in this round.
#[derive(Debug, Default)]
pub(super) struct Rotation {
    waiting: BTreeSet<StepId>,
}

impl Rotation {
    /// Returns those of the skipped steps that have their turn now, in the same order.
    pub(super) fn take_turns(&mut self, skipped: &[Rank]) -> Vec<Rank> {
        let is_waiting = |rank: &&Rank| self.waiting.contains(&rank.step);
        let mut turns: Vec<Rank> = skipped.iter().filter(is_waiting).copied().collect();
        if turns.is_empty() {
            self.waiting = skipped.iter().map(|rank| rank.step).collect();
            turns = skipped.to_vec();
        }
        let visits = (skipped.len() / ROUND_PASSES).clamp(MIN_VISITS, MAX_VISITS);
        turns.truncate(visits);
        for rank in &turns {
            self.waiting.remove(&rank.step);
        }
        turns
    }
}

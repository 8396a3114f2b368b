//! Placement of gangs, whose tasks run only together.
//!
//! If a gang does not fit, workers are reserved for it: only urgent tasks, which are short, are
//! still started there, so that the workers drain. If it fits but its tickets have expired, the
//! capacity is reserved while new tickets are requested.

use super::super::JobId;
use super::super::event::Cause;
use super::Scheduler;
use super::target::Candidate;

impl Scheduler {
    /// Places a gang. Returns `false` if it counts as a failed placement of its queue.
    pub(super) fn place_gang(&mut self, candidate: &Candidate<'_>) -> bool {
        let id = candidate.id;
        let count = u64::from(candidate.step.count);
        let waiting = self.waiting_tasks(id);
        if (waiting.len() as u64) < count {
            return true;
        }
        let allowed = self.allowed_tasks(id.job, &candidate.step.size, &candidate.reserved_limit);
        let allowed = allowed.min(self.tasks_beside_urgent(candidate));
        if allowed < count {
            self.unreserve(id.job, usize::from(id.step));
            self.note_limited(id);
            self.log_cause(id, Cause::Limit, allowed);
            return true;
        }
        let number = usize::from(id.step);
        let reserved = self.jobs[&id.job].steps[number].reserved.clone();
        if !reserved.is_empty() {
            self.start_reserved(candidate, &reserved);
            return true;
        }
        let scope = self.scope(candidate, waiting.len());
        if scope.held > 0 {
            self.prepare_near(candidate, &waiting);
            return true;
        }
        let targets = self.targets_within(candidate, scope.rack.as_ref());
        if targets.count() < count {
            // Late gangs may reserve workers too, since that holds back only steps of lower rank.
            // Wide gangs would otherwise never fit.
            self.log_cause(id, Cause::Capacity, targets.count());
            self.reserve_workers(candidate);
            self.ask_unknown(candidate);
            return false;
        }
        let starts = targets.assign(&waiting, true);
        if starts.len() == waiting.len() {
            self.start(id, &starts);
            self.release_workers(id.job);
        } else {
            self.log_cause(id, Cause::Tickets, targets.count());
            let starts = targets.assign(&waiting, false);
            self.reserve(
                candidate,
                starts.into_iter().map(|(_, worker)| worker).collect(),
            );
        }
        true
    }

    /// Starts a gang with reserved capacity once all its tickets are valid.
    fn start_reserved(&mut self, candidate: &Candidate<'_>, reserved: &[usize]) {
        let id = candidate.id;
        let number = usize::from(id.step);
        let now = self.now;
        let schedulable = |&worker: &usize| self.workers[worker].is_schedulable(now);
        let step = &self.jobs[&id.job].steps[number];
        let ticket_valid = |worker: &usize| step.advice.has_valid_ticket(*worker, now);
        let usable = reserved.iter().all(schedulable);
        let asking = step.advice.has_open_question(now);
        if usable && reserved.iter().all(ticket_valid) {
            self.unreserve(id.job, number);
            let starts: Vec<(u32, usize)> = (0..).zip(reserved.iter().copied()).collect();
            self.start(id, &starts);
            self.release_workers(id.job);
        } else if !usable || (step.reserved_until <= now && !asking) {
            self.unreserve(id.job, number);
            self.ranking.mark_changed(id.job);
        } else if !asking {
            self.ask(candidate, reserved);
        }
    }

    /// Reserves workers for a gang that does not fit, those with the most free capacity first, and
    /// holds the workers that it is eligible for.
    fn reserve_workers(&mut self, candidate: &Candidate<'_>) {
        let number = usize::from(candidate.id.step);
        let tickets = &self.jobs[&candidate.id.job].steps[number].advice.tickets;
        for &worker in tickets.keys() {
            if self.holds_left == 0 {
                break;
            }
            let is_useful = !self.workers[worker].evacuated;
            if is_useful && !self.workers[worker].held_for_gang {
                self.workers[worker].held_for_gang = true;
                self.holds_left -= 1;
            }
        }
        if self.worker_reservations_left == 0 {
            return;
        }
        let size = candidate.step.booked();
        let usable = |&index: &usize| {
            let worker = &self.workers[index];
            worker.reserved_for.is_none()
                && worker.is_schedulable(self.now)
                && size.fits(&worker.entry.capacity)
        };
        let mut usable: Vec<usize> = if candidate.queue.advice.is_some() {
            tickets.keys().copied().filter(usable).collect()
        } else {
            let suits = |&index: &usize| {
                super::target::suits(&self.workers[index], candidate.queue, candidate.step)
            };
            (0..self.workers.len())
                .filter(usable)
                .filter(suits)
                .collect()
        };
        let free = |&index: &usize| std::cmp::Reverse(self.workers[index].free.millicores);
        usable.sort_unstable_by_key(|index| (free(index), *index));
        let mut left = u64::from(candidate.step.count);
        let mut chosen = Vec::new();
        for index in usable {
            if left == 0 || chosen.len() > self.worker_reservations_left {
                break;
            }
            let capacity = &self.workers[index].entry.capacity;
            left = left.saturating_sub(candidate.step.most_within(capacity));
            chosen.push(index);
        }
        if left == 0 && chosen.len() <= self.worker_reservations_left {
            self.worker_reservations_left -= chosen.len();
            for index in chosen {
                self.workers[index].reserved_for = Some(candidate.id.job);
            }
        }
    }

    /// Releases the workers that are reserved for a job's gang.
    fn release_workers(&mut self, id: JobId) {
        for index in 0..self.workers.len() {
            if self.workers[index].reserved_for == Some(id) {
                self.workers[index].reserved_for = None;
                self.mark_capacity_freed(index);
            }
        }
    }
}

//! How clients fare that come back all at once to a leader with a narrow link.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use azurepath_decide::batch::concurrency::{Limit, Outcome};
use azurepath_decide::time::Time;

const INSTANCES: usize = 16;

/// The speed of the leader's link in bytes per millisecond: 2 Mbit/s.
const LINK_BYTES_PER_MS: usize = 250;

/// The length of a submission in bytes.
const SUBMISSION_BYTES: usize = 1_000;

/// How long a client waits for an answer, in milliseconds.
const PATIENCE_MS: u64 = 2_700;

/// How long a submission may wait in its instance, in milliseconds.
const WAIT_MS: u64 = 1_200;

const CLIENTS_PER_INSTANCE: usize = 100;

const DAY_MS: u64 = 20_000;

/// A submission on the leader's link.
struct Packet {
    instance: usize,
    sent: u64,
    /// When its client stops waiting.
    deadline: u64,
}

/// What callers got.
#[derive(Debug, Default, PartialEq, Eq)]
struct Tally {
    answered: usize,
    refused: usize,
    late: usize,
}

/// Plays clients that come again a second after each answer, refusal or timeout.
fn play(limits: &mut [Option<Limit>]) -> Tally {
    let mut tally = Tally::default();
    let mut link: VecDeque<Packet> = VecDeque::new();
    // For each instance, when the submissions that wait in it came.
    let mut waiting: Vec<VecDeque<u64>> = Vec::new();
    waiting.resize_with(INSTANCES, VecDeque::new);
    let mut arrivals: BTreeMap<u64, Vec<usize>> = BTreeMap::new();
    let everyone = (0..INSTANCES).flat_map(|instance| [instance; CLIENTS_PER_INSTANCE]);
    arrivals.insert(0, everyone.collect());
    let mut credit = 0;
    for now in 0..DAY_MS {
        let time = Time::from_millis(now);
        for instance in arrivals.remove(&now).unwrap_or_default() {
            let queue = &mut waiting[instance];
            let wait = limits[instance]
                .as_ref()
                .map_or(Duration::ZERO, |limit| limit.expected_wait(queue.len()));
            if wait > Duration::from_millis(WAIT_MS) {
                tally.refused += 1;
                arrivals.entry(now + 1_000).or_default().push(instance);
            } else {
                queue.push_back(now);
            }
        }
        for (instance, queue) in waiting.iter_mut().enumerate() {
            while let Some(&since) = queue.front() {
                if now - since > WAIT_MS {
                    queue.pop_front();
                    tally.refused += 1;
                    arrivals.entry(now + 1_000).or_default().push(instance);
                    continue;
                }
                if limits[instance]
                    .as_mut()
                    .is_some_and(|limit| !limit.acquire())
                {
                    break;
                }
                let deadline = since + PATIENCE_MS;
                queue.pop_front();
                link.push_back(Packet {
                    instance,
                    sent: now,
                    deadline,
                });
            }
        }
        credit += LINK_BYTES_PER_MS;
        while credit >= SUBMISSION_BYTES
            && let Some(packet) = link.pop_front()
        {
            credit -= SUBMISSION_BYTES;
            let in_time = now <= packet.deadline;
            tally.answered += usize::from(in_time);
            tally.late += usize::from(!in_time);
            if let Some(limit) = &mut limits[packet.instance] {
                let took = Duration::from_millis(now - packet.sent);
                limit.release(Outcome::Answered(took), time);
            }
            let again = arrivals.entry(now + 1_000).or_default();
            again.push(packet.instance);
        }
        if link.is_empty() {
            credit = credit.min(SUBMISSION_BYTES);
        }
    }
    tally
}

/// Without a bound the submissions wait on the link, and many arrive after their clients have left.
#[test]
fn returning_clients() {
    let capacity = DAY_MS as usize * LINK_BYTES_PER_MS / SUBMISSION_BYTES;
    let mut limits: Vec<Option<Limit>> = vec![Some(Limit::default()); INSTANCES];
    let tally = play(&mut limits);
    assert_eq!(tally.late, 0, "{tally:?}");
    assert!(tally.answered * 10 >= capacity * 9, "{tally:?}");
    let unbounded = play(&mut vec![None; INSTANCES]);
    assert!(unbounded.late > unbounded.answered / 10, "{unbounded:?}");
}

/// Five submissions a second on each instance, and a store that makes the leader answer each after
/// half a second.
#[test]
fn slow_store() {
    let took = Duration::from_millis(500);
    let mut limit = Limit::default();
    let mut answers: VecDeque<u64> = VecDeque::new();
    let mut waiting = 0_usize;
    for now in 0..DAY_MS {
        while answers.front().is_some_and(|at| *at <= now) {
            answers.pop_front();
            limit.release(Outcome::Answered(took), Time::from_millis(now));
        }
        waiting += usize::from(now % 200 == 0);
        let wait = limit.expected_wait(waiting);
        assert!(wait < Duration::from_millis(WAIT_MS), "{wait:?} at {now}");
        while waiting > 0 && limit.acquire() {
            waiting -= 1;
            answers.push_back(now + 500);
        }
    }
}

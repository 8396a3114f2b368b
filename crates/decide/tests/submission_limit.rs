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

/// The time until a client comes again, in milliseconds.
const RETURN_MS: u64 = 1_000;

/// How long a submission may wait in its instance.
const MAX_WAIT: Duration = Duration::from_millis(1_200);

const CLIENTS_PER_INSTANCE: usize = 100;

/// How long the clients come, in milliseconds.
const DAY_MS: u64 = 20_000;

/// A submission on the leader's link.
struct Packet {
    instance: usize,
    sent_ms: u64,
    /// When its client stops waiting.
    deadline_ms: u64,
}

/// What callers got.
#[derive(Debug, Default, PartialEq, Eq)]
struct Tally {
    answered: usize,
    refused: usize,
    late: usize,
}

/// An instance that passes submissions on to the leader.
#[derive(Default)]
struct Instance {
    /// Limits how many of its submissions are under way, if set.
    limit: Option<Limit>,
    /// When the submissions that wait in it came.
    waiting: VecDeque<u64>,
}

/// Clients, instances and the leader's link.
struct Play {
    now_ms: u64,
    instances: Vec<Instance>,
    /// The instances that clients will come to, by time.
    arrivals: BTreeMap<u64, Vec<usize>>,
    link: VecDeque<Packet>,
    /// The bytes that the link may carry at once.
    credit: usize,
    tally: Tally,
}

impl Play {
    /// Returns a play in which all clients come at once.
    fn new(limit: Option<&Limit>) -> Play {
        let instance = || Instance {
            limit: limit.cloned(),
            ..Instance::default()
        };
        let everyone = (0..INSTANCES).flat_map(|instance| [instance; CLIENTS_PER_INSTANCE]);
        Play {
            now_ms: 0,
            instances: (0..INSTANCES).map(|_| instance()).collect(),
            arrivals: BTreeMap::from([(0, everyone.collect())]),
            link: VecDeque::new(),
            credit: 0,
            tally: Tally::default(),
        }
    }

    /// Plays the clients, which come again after each answer, refusal or timeout.
    fn run(mut self) -> Tally {
        for now_ms in 0..DAY_MS {
            self.now_ms = now_ms;
            for instance in self.arrivals.remove(&now_ms).unwrap_or_default() {
                self.arrive(instance);
            }
            (0..INSTANCES).for_each(|instance| self.forward(instance));
            self.carry();
        }
        self.tally
    }

    fn come_again(&mut self, instance: usize) {
        let at = self.now_ms + RETURN_MS;
        self.arrivals.entry(at).or_default().push(instance);
    }

    fn refuse(&mut self, instance: usize) {
        self.tally.refused += 1;
        self.come_again(instance);
    }

    fn arrive(&mut self, number: usize) {
        let instance = &mut self.instances[number];
        let waiting = instance.waiting.len();
        let wait = match &instance.limit {
            Some(limit) => limit.expected_wait(waiting),
            None => Duration::ZERO,
        };
        if wait > MAX_WAIT {
            self.refuse(number);
        } else {
            instance.waiting.push_back(self.now_ms);
        }
    }

    /// Refuses what has waited too long in an instance, and sends what its limit allows.
    fn forward(&mut self, number: usize) {
        while let Some(&since_ms) = self.instances[number].waiting.front() {
            let instance = &mut self.instances[number];
            if Duration::from_millis(self.now_ms - since_ms) > MAX_WAIT {
                instance.waiting.pop_front();
                self.refuse(number);
                continue;
            }
            if instance
                .limit
                .as_mut()
                .is_some_and(|limit| !limit.acquire())
            {
                break;
            }
            instance.waiting.pop_front();
            self.link.push_back(Packet {
                instance: number,
                sent_ms: self.now_ms,
                deadline_ms: since_ms + PATIENCE_MS,
            });
        }
    }

    /// Carries submissions to the leader, which answers at once.
    fn carry(&mut self) {
        self.credit += LINK_BYTES_PER_MS;
        while self.credit >= SUBMISSION_BYTES
            && let Some(packet) = self.link.pop_front()
        {
            self.credit -= SUBMISSION_BYTES;
            let in_time = self.now_ms <= packet.deadline_ms;
            self.tally.answered += usize::from(in_time);
            self.tally.late += usize::from(!in_time);
            if let Some(limit) = &mut self.instances[packet.instance].limit {
                let took = Duration::from_millis(self.now_ms - packet.sent_ms);
                limit.release(Outcome::Answered(took), Time::from_millis(self.now_ms));
            }
            self.come_again(packet.instance);
        }
        if self.link.is_empty() {
            self.credit = self.credit.min(SUBMISSION_BYTES);
        }
    }
}

/// Without a bound the submissions wait on the link, and many arrive after their clients have left.
#[test]
fn returning_clients() {
    let capacity = DAY_MS as usize * LINK_BYTES_PER_MS / SUBMISSION_BYTES;
    let tally = Play::new(Some(&Limit::default())).run();
    assert_eq!(tally.late, 0, "{tally:?}");
    assert!(tally.answered * 10 >= capacity * 9, "{tally:?}");
    let unbounded = Play::new(None).run();
    assert!(unbounded.late > unbounded.answered / 10, "{unbounded:?}");
}

/// The store makes the leader answer late, and the submissions of an instance don't wait for that.
#[test]
fn slow_store() {
    /// The time between two submissions to one instance, and between a submission and its answer.
    const INTERVAL_MS: u64 = 200;
    const ANSWER_MS: u64 = 500;
    let took = Duration::from_millis(ANSWER_MS);
    let mut limit = Limit::default();
    let mut answers: VecDeque<u64> = VecDeque::new();
    let mut waiting = 0_usize;
    for now in 0..DAY_MS {
        while answers.front().is_some_and(|at| *at <= now) {
            answers.pop_front();
            limit.release(Outcome::Answered(took), Time::from_millis(now));
        }
        waiting += usize::from(now % INTERVAL_MS == 0);
        let wait = limit.expected_wait(waiting);
        assert!(wait < MAX_WAIT, "{wait:?} at {now}");
        while waiting > 0 && limit.acquire() {
            waiting -= 1;
            answers.push_back(now + ANSWER_MS);
        }
    }
}

//! The queue of requests that wait for resources.
//!
//! Requests of one class, team and rack wait in buckets by size. If the first request of a bucket
//! fits on no worker, neither do those behind it, so a decision looks only at the first request of
//! each bucket.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

use crate::class::Class;
use crate::name::Map;
use crate::request;
use crate::size::Size;
use crate::time::Time;
use crate::work::{Schedule, Work};

/// Number of buckets in a partition up to which every size gets a bucket of its own.
const MAX_EXACT_BUCKETS: usize = 32;

/// The sort key within a bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    /// The deadline of the request, or zero if only the order of arrival counts.
    pub deadline: Time,
    /// The position in the order of arrival.
    pub arrival: u64,
}

/// The last two workers that a request has failed on, by index.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Excluded {
    last: Option<usize>,
    previous: Option<usize>,
}

impl Excluded {
    /// Tells whether a worker is excluded.
    pub fn contains(&self, worker: usize) -> bool {
        self.last == Some(worker) || self.previous == Some(worker)
    }

    /// Tells whether no worker is excluded.
    pub fn is_empty(&self) -> bool {
        self.last.is_none()
    }

    /// Adds a worker, which replaces the older of two excluded ones.
    pub fn add(&mut self, worker: usize) {
        if !self.contains(worker) {
            self.previous = self.last.replace(worker);
        }
    }
}

/// A waiting request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Item {
    /// The request.
    pub id: request::Id,
    /// Its class.
    pub class: Class,
    /// Its team, by index.
    pub team: usize,
    /// The one rack that it may run on, by index; none for any.
    pub rack: Option<usize>,
    /// The workers that it must not start on.
    pub excluded: Excluded,
    /// The size that is booked for it when it starts.
    pub size: Size,
    /// Its sort key.
    pub key: Key,
    /// Its estimated work.
    pub work: Work,
}

/// The resources available on one worker.
#[derive(Clone, Copy, Debug)]
pub struct Availability {
    /// The worker's rack, by index.
    pub rack: usize,
    /// The worker, by index.
    pub worker: usize,
    /// The largest size that may be started there.
    pub size: Size,
}

/// The fields of a waiting request that a search reads.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    key: Key,
    id: request::Id,
    size: Size,
    excluded: Excluded,
}

impl Candidate {
    fn fits(&self, available: &Availability) -> bool {
        self.size.fits(&available.size) && !self.excluded.contains(available.worker)
    }
}

/// Waiting requests of about the same size.
#[derive(Debug)]
struct Bucket {
    /// A copy of the first waiting request, so that searches over many buckets are cheap.
    head: Candidate,
    waiting: BTreeMap<Key, Candidate>,
}

impl Bucket {
    fn push(&mut self, candidate: Candidate) {
        self.waiting.insert(candidate.key, candidate);
        if candidate.key < self.head.key {
            self.head = candidate;
        }
    }

    /// Removes a request and tells whether others still wait.
    fn remove(&mut self, key: &Key) -> bool {
        self.waiting.remove(key);
        let first = self.waiting.first_key_value();
        if let Some((_, first)) = first {
            self.head = *first;
        }
        first.is_some()
    }
}

/// All buckets of one class, team and rack.
#[derive(Debug, Default)]
struct Partition {
    buckets: BTreeMap<Size, Bucket>,
    /// A lower bound for the sizes of all requests in the partition.
    min_size: Size,
    schedule: Schedule,
}

impl Partition {
    fn bucket_size(&self, size: &Size) -> Size {
        let exact = self.buckets.contains_key(size) || self.buckets.len() < MAX_EXACT_BUCKETS;
        if exact { *size } else { round_up(size) }
    }

    /// Adds a request to a bucket and tells whether it is the only one there.
    fn push(&mut self, size: Size, candidate: Candidate) -> bool {
        self.min_size = if self.buckets.is_empty() {
            candidate.size
        } else {
            Size::min(&self.min_size, &candidate.size)
        };
        match self.buckets.entry(size) {
            Entry::Occupied(mut bucket) => {
                bucket.get_mut().push(candidate);
                false
            }
            Entry::Vacant(bucket) => {
                let waiting = BTreeMap::from([(candidate.key, candidate)]);
                bucket.insert(Bucket {
                    head: candidate,
                    waiting,
                });
                true
            }
        }
    }

    fn remove(&mut self, size: &Size, item: &Item) {
        if let Some(bucket) = self.buckets.get_mut(size)
            && !bucket.remove(&item.key)
        {
            self.buckets.remove(size);
        }
        self.schedule.remove(item.key.deadline, &item.work);
    }

    /// Returns the first request in order that may start on the available resources.
    fn first(&self, available: &Availability) -> Option<(Key, request::Id)> {
        if !self.min_size.fits(&available.size) {
            return None;
        }
        let heads = self.buckets.values().map(|bucket| &bucket.head);
        heads
            .filter(|head| head.fits(available))
            .map(|head| (head.key, head.id))
            .min()
    }
}

/// A waiting request and the size of its bucket.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    item: Item,
    bucket: Size,
}

/// The waiting requests of all classes, teams and racks.
#[derive(Debug, Default)]
pub struct Queue {
    partitions: [Vec<BTreeMap<Option<usize>, Partition>>; 3],
    entries: Map<request::Id, Box<Waiting>>,
    waiting: Vec<BTreeMap<Option<usize>, Size>>,
}

impl Queue {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns a waiting request.
    pub fn get(&self, id: request::Id) -> Option<&Item> {
        self.entries.get(&id).map(|entry| &entry.item)
    }

    /// Returns the total size of a team's waiting requests.
    pub fn waiting_size(&self, team: usize) -> Size {
        let racks = self
            .waiting
            .get(team)
            .into_iter()
            .flat_map(BTreeMap::values);
        racks.fold(Size::ZERO, |sum, size| sum.plus(size))
    }

    /// Returns the total size of a team's waiting requests that may run on this rack only, or on
    /// any rack if `rack` is none.
    pub fn waiting_size_at(&self, team: usize, rack: Option<usize>) -> Size {
        let racks = self.waiting.get(team);
        let size = racks.and_then(|racks| racks.get(&rack));
        size.copied().unwrap_or_default()
    }

    /// Adds a request and tells whether placement should be tried at once.
    ///
    /// It need not be tried if a request of the same size waits already, since that size then fits
    /// on no worker.
    pub fn push(&mut self, item: Item) -> bool {
        let partitions = &mut self.partitions[item.class as usize];
        ensure_index(partitions, item.team);
        ensure_index(&mut self.waiting, item.team);
        let partition = partitions[item.team].entry(item.rack).or_default();
        let size = partition.bucket_size(&item.size);
        let candidate = Candidate {
            key: item.key,
            id: item.id,
            size: item.size,
            excluded: item.excluded,
        };
        let try_now = partition.push(size, candidate) || size != item.size;
        partition.schedule.add(item.key.deadline, &item.work);
        let sum = self.waiting[item.team].entry(item.rack).or_default();
        *sum = sum.plus(&item.size);
        self.entries
            .insert(item.id, Box::new(Waiting { item, bucket: size }));
        try_now
    }

    /// Removes a request.
    pub fn remove(&mut self, id: request::Id) -> Option<Item> {
        let Waiting { item, bucket: size } = *self.entries.remove(&id)?;
        let partitions = &mut self.partitions[item.class as usize][item.team];
        if let Some(partition) = partitions.get_mut(&item.rack) {
            partition.remove(&size, &item);
            if partition.buckets.is_empty() {
                partitions.remove(&item.rack);
            }
        }
        let sum = self.waiting[item.team].entry(item.rack).or_default();
        *sum = sum.minus(&item.size);
        if sum.is_zero() {
            self.waiting[item.team].remove(&item.rack);
        }
        Some(item)
    }

    /// Tells whether requests of a class and team wait.
    pub fn has(&self, class: Class, team: usize) -> bool {
        let racks = self.partitions[class as usize].get(team);
        racks.is_some_and(|racks| !racks.is_empty())
    }

    /// Returns the first request of a class and team, in order, that may start on the available
    /// resources.
    pub fn first_fitting(
        &self,
        class: Class,
        team: usize,
        free: &Availability,
    ) -> Option<(Key, request::Id)> {
        let racks = self.partitions[class as usize].get(team)?;
        let first = |rack| {
            racks
                .get(&rack)
                .and_then(|partition: &Partition| partition.first(free))
        };
        match (first(None), first(Some(free.rack))) {
            (Some(any), Some(bound)) => Some(any.min(bound)),
            (any, bound) => any.or(bound),
        }
    }

    /// Returns the work of the item's team that is certain to be served before it.
    pub fn work_ahead(&self, item: &Item) -> Work {
        let mut sum = Work::default();
        for (class, partitions) in self
            .partitions
            .iter()
            .enumerate()
            .take(item.class as usize + 1)
        {
            let racks = partitions.get(item.team);
            let Some(partition) = racks.and_then(|racks| racks.get(&item.rack)) else {
                continue;
            };
            let work = if class == item.class as usize {
                partition.schedule.due_before(item.key.deadline)
            } else {
                partition.schedule.total()
            };
            sum = sum.plus(&work);
        }
        sum
    }

    /// Returns the sum of all waiting work.
    pub fn total_work(&self) -> Work {
        let partitions = self.partitions.iter().flatten().flat_map(BTreeMap::values);
        partitions.fold(Work::default(), |sum, partition| {
            sum.plus(&partition.schedule.total())
        })
    }

    /// Returns the ids of all waiting requests in ascending order.
    pub fn ids(&self) -> Vec<request::Id> {
        let mut ids: Vec<_> = self.entries.keys().copied().collect();
        ids.sort_unstable();
        ids
    }
}

fn ensure_index<T: Default>(list: &mut Vec<T>, index: usize) {
    if list.len() <= index {
        list.resize_with(index + 1, T::default);
    }
}

/// Rounds up to powers of two, which bounds the number of buckets whatever the sizes are.
fn round_up(size: &Size) -> Size {
    let up = |amount: u64| amount.checked_next_power_of_two().unwrap_or(u64::MAX);
    Size {
        millicores: up(size.millicores),
        memory_mib: up(size.memory_mib),
        accelerators: up(size.accelerators),
        slots: up(size.slots),
    }
}

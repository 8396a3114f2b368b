//! Requests that wait for room.
//!
//! Requests of one class and team wait in lanes by size. Where the first of a lane fits nowhere,
//! neither do those behind it, so a lane costs a decision no more than its first request.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

use crate::class::Class;
use crate::name::Map;
use crate::request;
use crate::size::Size;
use crate::time::Time;
use crate::work::{Schedule, Work};

/// How many sizes of one class and team have a lane of their own.
const EXACT_LANES: usize = 32;

/// The order within a lane.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    /// The end of the caller's patience, or zero where arrival alone counts.
    pub deadline: Time,
    /// Counts arrivals.
    pub arrival: u64,
}

/// The last two workers that a request has failed on, by index.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Avoid {
    last: Option<usize>,
    before: Option<usize>,
}

impl Avoid {
    /// Tells whether a worker is to be avoided.
    pub fn contains(&self, worker: usize) -> bool {
        self.last == Some(worker) || self.before == Some(worker)
    }

    /// Tells whether no worker is to be avoided.
    pub fn is_empty(&self) -> bool {
        self.last.is_none()
    }

    /// Adds a worker in place of the one before the last.
    pub fn add(&mut self, worker: usize) {
        if !self.contains(worker) {
            self.before = self.last.replace(worker);
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
    /// The workers that it does not start on.
    pub avoid: Avoid,
    /// What would be booked for it.
    pub size: Size,
    /// Its order.
    pub key: Key,
    /// The work that it is.
    pub work: Work,
}

/// Room on one worker.
#[derive(Clone, Copy, Debug)]
pub struct Spot {
    /// The worker's rack, by index.
    pub rack: usize,
    /// The worker, by index.
    pub worker: usize,
    /// What may be started there.
    pub room: Size,
}

/// What a search has to know of a waiting request.
#[derive(Clone, Copy, Debug)]
struct Head {
    key: Key,
    id: request::Id,
    size: Size,
    avoid: Avoid,
}

impl Head {
    fn starts_at(&self, spot: &Spot) -> bool {
        self.size.fits(&spot.room) && !self.avoid.contains(spot.worker)
    }
}

/// Requests of about one size.
#[derive(Debug)]
struct Lane {
    /// The first of those that wait, kept here for searches over many lanes.
    head: Head,
    waiting: BTreeMap<Key, Head>,
}

impl Lane {
    fn push(&mut self, head: Head) {
        self.waiting.insert(head.key, head);
        if head.key < self.head.key {
            self.head = head;
        }
    }

    /// Takes a request out and tells whether others wait.
    fn remove(&mut self, key: &Key) -> bool {
        self.waiting.remove(key);
        let first = self.waiting.first_key_value();
        if let Some((_, first)) = first {
            self.head = *first;
        }
        first.is_some()
    }
}

/// All lanes of one class, team and rack.
#[derive(Debug, Default)]
struct Line {
    lanes: BTreeMap<Size, Lane>,
    /// No less than this fits any request here.
    least: Size,
    schedule: Schedule,
}

impl Line {
    fn lane(&self, size: &Size) -> Size {
        let exact = self.lanes.contains_key(size) || self.lanes.len() < EXACT_LANES;
        if exact { *size } else { coarse(size) }
    }

    /// Adds a request to a lane and tells whether it is the only one there.
    fn push(&mut self, size: Size, head: Head) -> bool {
        self.least = if self.lanes.is_empty() {
            head.size
        } else {
            Size::min(&self.least, &head.size)
        };
        match self.lanes.entry(size) {
            Entry::Occupied(mut lane) => {
                lane.get_mut().push(head);
                false
            }
            Entry::Vacant(lane) => {
                let waiting = BTreeMap::from([(head.key, head)]);
                lane.insert(Lane { head, waiting });
                true
            }
        }
    }

    fn remove(&mut self, size: &Size, item: &Item) {
        if let Some(lane) = self.lanes.get_mut(size)
            && !lane.remove(&item.key)
        {
            self.lanes.remove(size);
        }
        self.schedule.remove(item.key.deadline, &item.work);
    }

    /// Returns the first request in order that may start at a spot.
    fn first(&self, spot: &Spot) -> Option<(Key, request::Id)> {
        if !self.least.fits(&spot.room) {
            return None;
        }
        let heads = self.lanes.values().map(|lane| &lane.head);
        heads
            .filter(|head| head.starts_at(spot))
            .map(|head| (head.key, head.id))
            .min()
    }
}

/// Where a request waits.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    item: Item,
    lane: Size,
}

/// The queue.
#[derive(Debug, Default)]
pub struct Queue {
    lines: [Vec<BTreeMap<Option<usize>, Line>>; 3],
    spots: Map<request::Id, Box<Waiting>>,
    waiting: Vec<BTreeMap<Option<usize>, Size>>,
}

impl Queue {
    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.spots.len()
    }

    /// Tells whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.spots.is_empty()
    }

    /// Returns a waiting request.
    pub fn get(&self, id: request::Id) -> Option<&Item> {
        self.spots.get(&id).map(|spot| &spot.item)
    }

    /// Returns the sum of what waits for a team.
    pub fn waiting(&self, team: usize) -> Size {
        let racks = self
            .waiting
            .get(team)
            .into_iter()
            .flat_map(BTreeMap::values);
        racks.fold(Size::ZERO, |sum, size| sum.plus(size))
    }

    /// Returns the sum of what waits for a team and may run on just this rack, or on any.
    pub fn waiting_at(&self, team: usize, rack: Option<usize>) -> Size {
        let racks = self.waiting.get(team);
        let size = racks.and_then(|racks| racks.get(&rack));
        size.copied().unwrap_or_default()
    }

    /// Adds a request, and tells whether it should be tried at once.
    ///
    /// It need not where one of its size waits already, since that one fits nowhere.
    pub fn push(&mut self, item: Item) -> bool {
        let lines = &mut self.lines[item.class as usize];
        grow(lines, item.team);
        grow(&mut self.waiting, item.team);
        let line = lines[item.team].entry(item.rack).or_default();
        let size = line.lane(&item.size);
        let head = Head {
            key: item.key,
            id: item.id,
            size: item.size,
            avoid: item.avoid,
        };
        let fresh = line.push(size, head) || size != item.size;
        line.schedule.add(item.key.deadline, &item.work);
        let sum = self.waiting[item.team].entry(item.rack).or_default();
        *sum = sum.plus(&item.size);
        self.spots
            .insert(item.id, Box::new(Waiting { item, lane: size }));
        fresh
    }

    /// Takes a request out.
    pub fn remove(&mut self, id: request::Id) -> Option<Item> {
        let Waiting { item, lane: size } = *self.spots.remove(&id)?;
        let lines = &mut self.lines[item.class as usize][item.team];
        if let Some(line) = lines.get_mut(&item.rack) {
            line.remove(&size, &item);
            if line.lanes.is_empty() {
                lines.remove(&item.rack);
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
        let line = self.lines[class as usize].get(team);
        line.is_some_and(|lines| !lines.is_empty())
    }

    /// Returns the first request of a class and team, in their order, that may start at a spot.
    pub fn first(&self, class: Class, team: usize, spot: &Spot) -> Option<(Key, request::Id)> {
        let lines = self.lines[class as usize].get(team)?;
        let first = |rack| lines.get(&rack).and_then(|line: &Line| line.first(spot));
        match (first(None), first(Some(spot.rack))) {
            (Some(any), Some(bound)) => Some(any.min(bound)),
            (any, bound) => any.or(bound),
        }
    }

    /// Returns the work of an item's own team that is surely served before it.
    pub fn ahead(&self, item: &Item) -> Work {
        let mut sum = Work::default();
        for (class, lines) in self.lines.iter().enumerate().take(item.class as usize + 1) {
            let lines = lines.get(item.team);
            let Some(line) = lines.and_then(|lines| lines.get(&item.rack)) else {
                continue;
            };
            let work = if class == item.class as usize {
                line.schedule.before(item.key.deadline)
            } else {
                line.schedule.total()
            };
            sum = sum.plus(&work);
        }
        sum
    }

    /// Returns all work that waits.
    pub fn total(&self) -> Work {
        let lines = self.lines.iter().flatten().flat_map(BTreeMap::values);
        lines.fold(Work::default(), |sum, line| {
            sum.plus(&line.schedule.total())
        })
    }

    /// Returns all waiting requests in the order of their ids.
    pub fn ids(&self) -> Vec<request::Id> {
        let mut ids: Vec<_> = self.spots.keys().copied().collect();
        ids.sort_unstable();
        ids
    }
}

fn grow<T: Default>(list: &mut Vec<T>, index: usize) {
    if list.len() <= index {
        list.resize_with(index + 1, T::default);
    }
}

/// Rounds up to powers of two, so that a line has few lanes whatever the sizes are.
fn coarse(size: &Size) -> Size {
    let up = |amount: u64| amount.checked_next_power_of_two().unwrap_or(u64::MAX);
    Size {
        millicores: up(size.millicores),
        memory_mib: up(size.memory_mib),
        accelerators: up(size.accelerators),
        slots: up(size.slots),
    }
}

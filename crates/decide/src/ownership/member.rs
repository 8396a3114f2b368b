//! The machine that one server runs.

use std::collections::{BTreeMap, BTreeSet};

use super::peer::Peers;
use super::rendezvous::{Place, preferred_owner};
use super::row::{Heartbeat, Rack, Stored};
use super::{Action, Event, Key, Outcome, Rows, Setup, Write};
use crate::fleet::{Server, View};
use crate::name::Name;
use crate::rack::{Allotments, Allotted, Grant};
use crate::time::Time;

/// How many more of a member's heartbeats the row of a dead server is kept for.
const DEAD_ROW_BEATS: u32 = 300;

/// What the rest of the process has been told about an owned rack.
#[derive(Debug)]
struct Held {
    epoch: u64,
    allotments: Allotments,
    claimed: bool,
}

/// Where the member stands towards the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Its own row is not known to be its own yet.
    Joining,
    /// Its own row names it.
    Joined,
    /// Another process took the name, or every rack has been handed over.
    Ended,
}

/// The member.
#[derive(Debug)]
pub struct Member {
    setup: Setup,
    stage: Stage,
    beat: u64,
    /// The revision of the own row; none where it has to be read first.
    own: Option<u64>,
    /// The own heartbeat that was last read back.
    seen: u64,
    /// How many own heartbeats were read back.
    age: u32,
    due: Time,
    beating: bool,
    reading: bool,
    read_again: bool,
    peers: Peers,
    places: BTreeMap<Name, Place>,
    racks: BTreeMap<Name, Stored<Rack>>,
    pending: BTreeMap<Name, Rack>,
    held: BTreeMap<Name, Held>,
    view: View,
}

impl Member {
    /// Makes a member that owns nothing.
    pub fn new(setup: Setup) -> Member {
        let peers = Peers::new(setup.max_missed_heartbeats);
        Member {
            setup,
            stage: Stage::Joining,
            beat: 0,
            own: None,
            seen: 0,
            age: 0,
            due: Time(0),
            beating: false,
            reading: false,
            read_again: false,
            peers,
            places: BTreeMap::new(),
            racks: BTreeMap::new(),
            pending: BTreeMap::new(),
            held: BTreeMap::new(),
            view: View::default(),
        }
    }

    /// Returns the racks' rows as last read or written.
    pub fn racks(&self) -> &BTreeMap<Name, Stored<Rack>> {
        &self.racks
    }

    /// Returns the names of all other servers that have a row, dead ones included.
    pub fn others(&self) -> BTreeSet<Name> {
        self.peers.names().cloned().collect()
    }

    /// Returns the fleet as last seen.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Tells whether the member says that it owns a rack.
    pub fn owns(&self, rack: &str) -> bool {
        self.held.contains_key(rack)
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        if self.stage == Stage::Ended {
            return;
        }
        match event {
            Event::Racks(places) => self.places = places,
            Event::Read(rows) => self.read(rows, actions),
            Event::Wrote { key, outcome } => self.wrote(key, outcome, actions),
            Event::Allotted {
                rack,
                revision,
                allotments,
            } => self.allotted(&rack, revision, allotments),
            Event::Claimed { rack, epoch } => self.claimed(&rack, epoch, actions),
            Event::Hint => self.ask(actions),
            Event::Stop => self.stop(now),
            Event::Tick => {}
        }
        self.cycle(now, actions);
    }

    /// Begins the next heartbeat when it is due.
    fn cycle(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.beating || now < self.due || self.stage == Stage::Ended {
            return;
        }
        self.due = now.after(self.setup.interval);
        let Some(revision) = self.own else {
            self.ask(actions);
            return;
        };
        self.beat += 1;
        self.beating = true;
        actions.push(Action::Write(Write::Server {
            name: self.setup.server.name.clone(),
            revision,
            row: Some(Heartbeat {
                server: self.setup.server.clone(),
                beat: self.beat,
            }),
        }));
    }

    /// Asks for all rows, once at a time.
    fn ask(&mut self, actions: &mut Vec<Action>) {
        if self.reading {
            self.read_again = true;
            return;
        }
        self.reading = true;
        actions.push(Action::Read);
    }

    fn stop(&mut self, now: Time) {
        self.setup.server.leaving = true;
        self.due = now;
    }

    fn wrote(&mut self, key: Key, outcome: Outcome, actions: &mut Vec<Action>) {
        match key {
            Key::Server(name) if name == self.setup.server.name => {
                self.beating = false;
                match outcome {
                    Outcome::Done { revision } => self.own = Some(revision),
                    Outcome::Conflict | Outcome::Lost => self.own = None,
                    Outcome::Failed => {}
                }
                self.ask(actions);
            }
            Key::Server(_) => {}
            Key::Rack(name) => self.wrote_rack(&name, outcome, actions),
        }
    }

    fn wrote_rack(&mut self, name: &Name, outcome: Outcome, actions: &mut Vec<Action>) {
        let Some(row) = self.pending.remove(name) else {
            return;
        };
        match outcome {
            Outcome::Done { revision } => {
                self.notify(name, &row, actions);
                self.store(name.clone(), Stored { revision, row });
                self.settle(actions);
            }
            // The next read shows what the row says.
            Outcome::Conflict | Outcome::Lost => self.ask(actions),
            Outcome::Failed => {}
        }
    }

    /// Tells the other side of a handover that the row has changed.
    fn notify(&self, name: &Name, row: &Rack, actions: &mut Vec<Action>) {
        let earlier = self.racks.get(name).map(|stored| &stored.row);
        let predecessor = earlier.and_then(|row| row.predecessor.as_ref());
        let others = [&row.successor, &row.predecessor].into_iter().flatten();
        let others = others.chain(predecessor.filter(|_| row.predecessor.is_none()));
        for server in others {
            actions.push(Action::Notify {
                server: server.clone(),
                rack: name.clone(),
                epoch: row.owner.epoch,
            });
        }
    }

    fn read(&mut self, rows: Option<Rows>, actions: &mut Vec<Action>) {
        self.reading = false;
        if let Some(rows) = rows {
            self.take(rows, actions);
        }
        if std::mem::take(&mut self.read_again) && self.stage != Stage::Ended {
            self.ask(actions);
        }
    }

    fn take(&mut self, mut rows: Rows, actions: &mut Vec<Action>) {
        let own = rows.servers.remove(&self.setup.server.name);
        if !self.take_own(own.as_ref()) {
            self.end(actions);
            actions.push(Action::Superseded);
            return;
        }
        let beat = own
            .filter(|own| own.row.server.incarnation == self.setup.server.incarnation)
            .map_or(0, |own| own.row.beat);
        let advanced = beat > self.seen;
        if advanced {
            self.seen = beat;
            self.age = self.age.saturating_add(1);
        }
        self.peers.observe(rows.servers, advanced);
        for (name, stored) in rows.racks {
            self.store(name, stored);
        }
        self.settle(actions);
        if self.stage == Stage::Joined {
            self.assign(actions);
            self.collect(advanced, actions);
        }
    }

    /// Learns the revision of the own row; returns false where another process took the name.
    fn take_own(&mut self, own: Option<&Stored<Heartbeat>>) -> bool {
        let Some(stored) = own else {
            if !self.beating {
                self.own = Some(0);
            }
            return true;
        };
        let mine = stored.row.server.incarnation == self.setup.server.incarnation;
        if mine {
            self.stage = Stage::Joined;
        } else if self.stage == Stage::Joined {
            // A read that began before the first heartbeat still shows the earlier process.
            return self.own.is_some_and(|known| stored.revision < known);
        }
        if !self.beating {
            self.own = Some(self.own.unwrap_or(0).max(stored.revision));
        }
        true
    }

    fn store(&mut self, name: Name, stored: Stored<Rack>) {
        let known = self.racks.get(&name).map_or(0, |known| known.revision);
        if stored.revision > known {
            self.racks.insert(name, stored);
        }
    }

    /// Tells the process what the rows say about its racks, and the fleet's new view.
    fn settle(&mut self, actions: &mut Vec<Action>) {
        let lost: Vec<Name> = self
            .held
            .iter()
            .filter(|(name, held)| !self.still_holds(name, held))
            .map(|(name, _)| name.clone())
            .collect();
        for rack in lost {
            self.held.remove(&rack);
            actions.push(Action::Lose { rack });
        }
        for (name, stored) in &self.racks {
            if !stored.row.is_owned_by(&self.setup.server) {
                continue;
            }
            let epoch = stored.row.owner.epoch;
            let allotments = &stored.row.allotments;
            match self.held.get_mut(name) {
                None => {
                    self.held.insert(
                        name.clone(),
                        Held {
                            epoch,
                            allotments: allotments.clone(),
                            claimed: false,
                        },
                    );
                    actions.push(Action::Gain(Grant {
                        rack: name.clone(),
                        epoch,
                        allotments: allotments.clone(),
                    }));
                }
                Some(held) if held.allotments != *allotments => {
                    held.allotments = allotments.clone();
                    actions.push(Action::Allot(Allotted {
                        rack: name.clone(),
                        epoch,
                        allotments: allotments.clone(),
                    }));
                }
                Some(_) => {}
            }
        }
        self.show(actions);
    }

    fn still_holds(&self, name: &Name, held: &Held) -> bool {
        self.racks.get(name).is_some_and(|stored| {
            stored.row.is_owned_by(&self.setup.server) && stored.row.owner.epoch == held.epoch
        })
    }

    fn show(&mut self, actions: &mut Vec<Action>) {
        let mut servers: BTreeMap<Name, Server> = self
            .peers
            .live()
            .map(|server| (server.name.clone(), server.clone()))
            .collect();
        if self.stage == Stage::Joined {
            let server = &self.setup.server;
            servers.insert(server.name.clone(), server.clone());
        }
        let racks = self.racks.iter();
        let racks = racks.map(|(name, stored)| (name.clone(), stored.row.owner.clone()));
        let view = View {
            servers,
            racks: racks.collect(),
        };
        if view != self.view {
            self.view = view.clone();
            actions.push(Action::View(view));
        }
    }

    /// Claims racks that belong here, and hands over those that belong elsewhere.
    fn assign(&mut self, actions: &mut Vec<Action>) {
        let names = self.racks.keys().chain(self.places.keys());
        let names: BTreeSet<Name> = names.cloned().collect();
        for name in names {
            if self.pending.contains_key(&name) {
                continue;
            }
            let row = self.racks.get(&name).map(|stored| stored.row.clone());
            match row {
                Some(row) if row.is_owned_by(&self.setup.server) => {
                    self.keep(&name, row, actions);
                }
                row => {
                    if self.may_claim(&name, row.as_ref()) {
                        let claim = Rack::claimed_by(row.as_ref(), &self.setup.server);
                        self.write(&name, claim, actions);
                    }
                }
            }
        }
        self.finish(actions);
    }

    fn may_claim(&self, name: &Name, row: Option<&Rack>) -> bool {
        if self.setup.server.leaving {
            return false;
        }
        let me = &self.setup.server.name;
        if let Some(row) = row {
            if row.successor.as_ref() == Some(me) {
                return true;
            }
            if self.peers.owns(&row.owner) {
                return false;
            }
            let named = row.successor.as_ref();
            if named.is_some_and(|successor| self.peers.stays(successor)) {
                return false;
            }
        }
        let settled = self.age >= self.setup.settle_heartbeats;
        settled && self.successor(name, true).is_some_and(|to| to == *me)
    }

    /// Returns the server that a rack belongs to among those that stay.
    fn successor(&self, rack: &Name, with_self: bool) -> Option<Name> {
        let own = with_self.then_some(&self.setup.server);
        let staying = self.peers.live().chain(own).filter(|s| !s.leaving);
        preferred_owner(rack, self.places.get(rack), staying).map(|server| server.name.clone())
    }

    /// Looks after an owned rack: confirms its claim, or names a successor.
    fn keep(&mut self, name: &Name, mut row: Rack, actions: &mut Vec<Action>) {
        if row.predecessor.is_some() && self.held.get(name).is_some_and(|held| held.claimed) {
            row.predecessor = None;
            self.write(name, row, actions);
            return;
        }
        let leaving = self.setup.server.leaving;
        match &row.successor {
            Some(successor) if self.peers.stays(successor) => return,
            Some(_) => row.successor = None,
            None if self.moving() >= self.setup.max_handovers => return,
            None => {}
        }
        let next = self
            .successor(name, !leaving)
            .filter(|next| *next != self.setup.server.name)
            .filter(|next| leaving || self.peers.is_steady(next, self.setup.max_missed_heartbeats));
        let known = self.racks.get(name);
        if known.is_some_and(|known| known.row.successor == next) {
            return;
        }
        row.successor = next;
        self.write(name, row, actions);
    }

    /// Counts the owned racks that are being handed over.
    fn moving(&self) -> usize {
        let mine = |row: &&Rack| row.is_owned_by(&self.setup.server);
        let rows = self.racks.iter();
        let rows = rows.map(|(name, stored)| self.pending.get(name).unwrap_or(&stored.row));
        rows.filter(mine)
            .filter(|row| row.successor.is_some())
            .count()
    }

    fn write(&mut self, name: &Name, row: Rack, actions: &mut Vec<Action>) {
        let revision = self.racks.get(name).map_or(0, |stored| stored.revision);
        self.pending.insert(name.clone(), row.clone());
        actions.push(Action::Write(Write::Rack {
            name: name.clone(),
            revision,
            row,
        }));
    }

    fn allotted(&mut self, rack: &Name, revision: u64, allotments: Allotments) {
        let Some(stored) = self.racks.get_mut(rack) else {
            return;
        };
        if revision > stored.revision {
            stored.revision = revision;
            stored.row.allotments = allotments.clone();
            if let Some(held) = self.held.get_mut(rack) {
                held.allotments = allotments;
            }
        }
    }

    fn claimed(&mut self, rack: &Name, epoch: u64, actions: &mut Vec<Action>) {
        let Some(held) = self.held.get_mut(rack).filter(|held| held.epoch == epoch) else {
            return;
        };
        held.claimed = true;
        let row = self.racks.get(rack).map(|stored| stored.row.clone());
        if let Some(row) = row.filter(|row| row.predecessor.is_some())
            && !self.pending.contains_key(rack)
        {
            self.keep(rack, row, actions);
        }
    }

    /// Ends a planned stop once nothing depends on this server.
    fn finish(&mut self, actions: &mut Vec<Action>) {
        if !self.setup.server.leaving || !self.pending.is_empty() {
            return;
        }
        let name = &self.setup.server.name;
        let alone = !self.peers.live().any(|server| !server.leaving);
        let needed = self.racks.values().any(|stored| {
            let waits =
                stored.row.predecessor.as_ref() == Some(name) && self.peers.owns(&stored.row.owner);
            stored.row.is_owned_by(&self.setup.server) || waits
        });
        if needed && !alone {
            return;
        }
        if let (Some(revision), false) = (self.own, self.beating) {
            actions.push(Action::Write(Write::Server {
                name: name.clone(),
                revision,
                row: None,
            }));
        }
        self.end(actions);
        actions.push(Action::Stopped);
    }

    fn end(&mut self, actions: &mut Vec<Action>) {
        self.stage = Stage::Ended;
        for rack in std::mem::take(&mut self.held).into_keys() {
            actions.push(Action::Lose { rack });
        }
    }

    /// Deletes rows of servers that are long dead; one server does so at a time.
    fn collect(&mut self, advanced: bool, actions: &mut Vec<Action>) {
        let me = &self.setup.server.name;
        if !advanced || self.peers.live().any(|server| server.name < *me) {
            return;
        }
        for (name, revision) in self.peers.long_dead(DEAD_ROW_BEATS) {
            actions.push(Action::Write(Write::Server {
                name,
                revision,
                row: None,
            }));
        }
    }
}

//! The ownership state machine of one server.

use std::collections::{BTreeMap, BTreeSet};

use super::peer::Peers;
use super::rendezvous::{Place, preferred_owner};
use super::row::{Heartbeat, Rack, Stored};
use super::{Action, Event, Key, Outcome, Rows, Setup, Write};
use crate::fleet::{Server, View};
use crate::name::Name;
use crate::rack::{Allotments, Allotted, Grant};
use crate::time::Time;

/// The number of the member's heartbeats for which the row of a server is kept after the server is
/// considered dead.
const DEAD_ROW_HEARTBEATS: u32 = 300;

/// An owned rack, as last reported to the rest of the process.
#[derive(Debug)]
struct Ownership {
    epoch: u64,
    allotments: Allotments,
    claimed: bool,
}

/// The stage of the member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// The member has not yet read its own row with its own incarnation.
    Joining,
    /// The server's row shows this process.
    Joined,
    /// Another process took over the name, or a planned stop is complete.
    Ended,
}

/// One server's part in the ownership of racks.
#[derive(Debug)]
pub struct Member {
    setup: Setup,
    stage: Stage,
    heartbeat_number: u64,
    /// The revision of the member's own row; `None` if it has to be read first.
    own_revision: Option<u64>,
    /// The last of its own heartbeats that the member has read back.
    last_heartbeat_read: u64,
    /// The number of its own heartbeats that the member has read back.
    age: u32,
    next_heartbeat: Time,
    writing_heartbeat: bool,
    reading: bool,
    read_again: bool,
    peers: Peers,
    places: BTreeMap<Name, Place>,
    racks: BTreeMap<Name, Stored<Rack>>,
    pending: BTreeMap<Name, Rack>,
    owned: BTreeMap<Name, Ownership>,
    view: View,
}

impl Member {
    /// Creates a member that owns no racks.
    pub fn new(setup: Setup) -> Member {
        let peers = Peers::new(setup.max_missed_heartbeats);
        Member {
            setup,
            stage: Stage::Joining,
            heartbeat_number: 0,
            own_revision: None,
            last_heartbeat_read: 0,
            age: 0,
            next_heartbeat: Time(0),
            writing_heartbeat: false,
            reading: false,
            read_again: false,
            peers,
            places: BTreeMap::new(),
            racks: BTreeMap::new(),
            pending: BTreeMap::new(),
            owned: BTreeMap::new(),
            view: View::default(),
        }
    }

    /// Returns the rows of the racks as last read or written.
    pub fn racks(&self) -> &BTreeMap<Name, Stored<Rack>> {
        &self.racks
    }

    /// Returns the names of all other servers that have a row, including dead ones.
    pub fn others(&self) -> BTreeSet<Name> {
        self.peers.names().cloned().collect()
    }

    /// Returns the current view of the fleet.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Tells whether the member has reported that it owns a rack.
    pub fn owns(&self, rack: &str) -> bool {
        self.owned.contains_key(rack)
    }

    /// Handles one event and appends the resulting actions.
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
            Event::Hint => self.request_rows(actions),
            Event::Stop => self.stop(now),
            Event::Tick => {}
        }
        self.start_heartbeat(now, actions);
    }

    /// Writes the next heartbeat if it is due.
    fn start_heartbeat(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.writing_heartbeat || now < self.next_heartbeat || self.stage == Stage::Ended {
            return;
        }
        self.next_heartbeat = now.after(self.setup.interval);
        let Some(revision) = self.own_revision else {
            self.request_rows(actions);
            return;
        };
        self.heartbeat_number += 1;
        self.writing_heartbeat = true;
        actions.push(Action::Write(Write::Server {
            name: self.setup.server.name.clone(),
            revision,
            row: Some(Heartbeat {
                server: self.setup.server.clone(),
                number: self.heartbeat_number,
            }),
        }));
    }

    /// Requests a read of all rows. If a read is in flight, the next one follows it.
    fn request_rows(&mut self, actions: &mut Vec<Action>) {
        if self.reading {
            self.read_again = true;
            return;
        }
        self.reading = true;
        actions.push(Action::Read);
    }

    fn stop(&mut self, now: Time) {
        self.setup.server.leaving = true;
        self.next_heartbeat = now;
    }

    fn wrote(&mut self, key: Key, outcome: Outcome, actions: &mut Vec<Action>) {
        match key {
            Key::Server(name) if name == self.setup.server.name => {
                self.writing_heartbeat = false;
                match outcome {
                    Outcome::Done { revision } => self.own_revision = Some(revision),
                    Outcome::Conflict | Outcome::Lost => self.own_revision = None,
                    Outcome::Failed => {}
                }
                self.request_rows(actions);
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
                self.store_rack(name.clone(), Stored { revision, row });
                self.publish_changes(actions);
            }
            // The read shows the current row.
            Outcome::Conflict | Outcome::Lost => self.request_rows(actions),
            Outcome::Failed => {}
        }
    }

    /// Notifies the other servers of a handover that the row has changed.
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
            self.apply_rows(rows, actions);
        }
        if std::mem::take(&mut self.read_again) && self.stage != Stage::Ended {
            self.request_rows(actions);
        }
    }

    fn apply_rows(&mut self, mut rows: Rows, actions: &mut Vec<Action>) {
        let own = rows.servers.remove(&self.setup.server.name);
        if !self.apply_own_row(own.as_ref()) {
            self.shut_down(actions);
            actions.push(Action::Superseded);
            return;
        }
        let number = own
            .filter(|own| own.row.server.incarnation == self.setup.server.incarnation)
            .map_or(0, |own| own.row.number);
        let advanced = number > self.last_heartbeat_read;
        if advanced {
            self.last_heartbeat_read = number;
            self.age = self.age.saturating_add(1);
        }
        self.peers.observe(rows.servers, advanced);
        for (name, stored) in rows.racks {
            self.store_rack(name, stored);
        }
        self.publish_changes(actions);
        if self.stage == Stage::Joined {
            self.assign(actions);
            self.delete_dead_rows(advanced, actions);
        }
    }

    /// Takes the revision of the member's own row. Returns `false` if another process has taken
    /// over the name.
    fn apply_own_row(&mut self, own: Option<&Stored<Heartbeat>>) -> bool {
        let Some(stored) = own else {
            if !self.writing_heartbeat {
                self.own_revision = Some(0);
            }
            return true;
        };
        let is_own = stored.row.server.incarnation == self.setup.server.incarnation;
        if is_own {
            self.stage = Stage::Joined;
        } else if self.stage == Stage::Joined {
            // A read that began before the first heartbeat may still show the earlier process.
            return self
                .own_revision
                .is_some_and(|known| stored.revision < known);
        }
        if !self.writing_heartbeat {
            self.own_revision = Some(self.own_revision.unwrap_or(0).max(stored.revision));
        }
        true
    }

    fn store_rack(&mut self, name: Name, stored: Stored<Rack>) {
        let known = self.racks.get(&name).map_or(0, |known| known.revision);
        if stored.revision > known {
            self.racks.insert(name, stored);
        }
    }

    /// Reports racks that were gained or lost, changed allotments and the new view of the fleet.
    fn publish_changes(&mut self, actions: &mut Vec<Action>) {
        let lost: Vec<Name> = self
            .owned
            .iter()
            .filter(|(name, ownership)| !self.still_owns(name, ownership))
            .map(|(name, _)| name.clone())
            .collect();
        for rack in lost {
            self.owned.remove(&rack);
            actions.push(Action::Lose { rack });
        }
        for (name, stored) in &self.racks {
            if !stored.row.is_owned_by(&self.setup.server) {
                continue;
            }
            let epoch = stored.row.owner.epoch;
            let allotments = &stored.row.allotments;
            match self.owned.get_mut(name) {
                None => {
                    self.owned.insert(
                        name.clone(),
                        Ownership {
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
                Some(ownership) if ownership.allotments != *allotments => {
                    ownership.allotments = allotments.clone();
                    actions.push(Action::Allot(Allotted {
                        rack: name.clone(),
                        epoch,
                        allotments: allotments.clone(),
                    }));
                }
                Some(_) => {}
            }
        }
        self.update_view(actions);
    }

    fn still_owns(&self, name: &Name, ownership: &Ownership) -> bool {
        self.racks.get(name).is_some_and(|stored| {
            stored.row.is_owned_by(&self.setup.server) && stored.row.owner.epoch == ownership.epoch
        })
    }

    fn update_view(&mut self, actions: &mut Vec<Action>) {
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

    /// Claims racks that belong to this server, and hands over those that belong to others.
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
                    self.maintain(&name, row, actions);
                }
                row => {
                    if self.may_claim(&name, row.as_ref()) {
                        let claim = Rack::claimed_by(row.as_ref(), &self.setup.server);
                        self.write(&name, claim, actions);
                    }
                }
            }
        }
        self.try_finish_stop(actions);
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
            if self.peers.is_live_owner(&row.owner) {
                return false;
            }
            let named = row.successor.as_ref();
            if named.is_some_and(|successor| self.peers.is_staying(successor)) {
                return false;
            }
        }
        let settled = self.age >= self.setup.settle_heartbeats;
        settled && self.successor(name, true).is_some_and(|to| to == *me)
    }

    /// Returns the preferred owner of a rack among the servers that are not leaving.
    fn successor(&self, rack: &Name, with_self: bool) -> Option<Name> {
        let own = with_self.then_some(&self.setup.server);
        let staying = self.peers.live().chain(own).filter(|s| !s.leaving);
        preferred_owner(rack, self.places.get(rack), staying).map(|server| server.name.clone())
    }

    /// Updates the row of an owned rack: confirms its claim, or sets or clears its successor.
    fn maintain(&mut self, name: &Name, mut row: Rack, actions: &mut Vec<Action>) {
        if row.predecessor.is_some()
            && self
                .owned
                .get(name)
                .is_some_and(|ownership| ownership.claimed)
        {
            row.predecessor = None;
            self.write(name, row, actions);
            return;
        }
        let leaving = self.setup.server.leaving;
        match &row.successor {
            Some(successor) if self.peers.is_staying(successor) => return,
            Some(_) => row.successor = None,
            None if self.handovers() >= self.setup.max_handovers => return,
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

    /// Returns the number of owned racks that are being handed over.
    fn handovers(&self) -> usize {
        let is_own = |row: &&Rack| row.is_owned_by(&self.setup.server);
        let rows = self.racks.iter();
        let rows = rows.map(|(name, stored)| self.pending.get(name).unwrap_or(&stored.row));
        rows.filter(is_own)
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
            if let Some(ownership) = self.owned.get_mut(rack) {
                ownership.allotments = allotments;
            }
        }
    }

    fn claimed(&mut self, rack: &Name, epoch: u64, actions: &mut Vec<Action>) {
        let Some(ownership) = self
            .owned
            .get_mut(rack)
            .filter(|ownership| ownership.epoch == epoch)
        else {
            return;
        };
        ownership.claimed = true;
        let row = self.racks.get(rack).map(|stored| stored.row.clone());
        if let Some(row) = row.filter(|row| row.predecessor.is_some())
            && !self.pending.contains_key(rack)
        {
            self.maintain(rack, row, actions);
        }
    }

    /// Completes a planned stop once no rack depends on this server, or no other server stays.
    fn try_finish_stop(&mut self, actions: &mut Vec<Action>) {
        if !self.setup.server.leaving || !self.pending.is_empty() {
            return;
        }
        let name = &self.setup.server.name;
        let no_successor = !self.peers.live().any(|server| !server.leaving);
        let needed = self.racks.values().any(|stored| {
            let awaits_claim = stored.row.predecessor.as_ref() == Some(name)
                && self.peers.is_live_owner(&stored.row.owner);
            stored.row.is_owned_by(&self.setup.server) || awaits_claim
        });
        if needed && !no_successor {
            return;
        }
        if let (Some(revision), false) = (self.own_revision, self.writing_heartbeat) {
            actions.push(Action::Write(Write::Server {
                name: name.clone(),
                revision,
                row: None,
            }));
        }
        self.shut_down(actions);
        actions.push(Action::Stopped);
    }

    fn shut_down(&mut self, actions: &mut Vec<Action>) {
        self.stage = Stage::Ended;
        for rack in std::mem::take(&mut self.owned).into_keys() {
            actions.push(Action::Lose { rack });
        }
    }

    /// Deletes rows of servers that have been dead for long. Only the live server with the lowest
    /// name does so.
    fn delete_dead_rows(&mut self, advanced: bool, actions: &mut Vec<Action>) {
        let me = &self.setup.server.name;
        if !advanced || self.peers.live().any(|server| server.name < *me) {
            return;
        }
        for (name, revision) in self.peers.long_dead(DEAD_ROW_HEARTBEATS) {
            actions.push(Action::Write(Write::Server {
                name,
                revision,
                row: None,
            }));
        }
    }
}

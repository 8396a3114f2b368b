//! The machine of a rack owner: room, attempts and queues of all racks that one process owns.

use serde::{Deserialize, Serialize};

use crate::action::Action;
use crate::event::Event;
use crate::name::Name;
use crate::time::Time;

/// What a machine is made with.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Setup {
    /// The name of the server.
    pub server: Name,
    /// The seed of all random choices.
    pub seed: u64,
}

/// The machine.
#[derive(Debug)]
pub struct Cell {
    setup: Setup,
}

impl Cell {
    /// Makes a machine that owns nothing.
    pub fn new(setup: Setup) -> Cell {
        Cell { setup }
    }

    /// Returns what the machine was made with.
    pub fn setup(&self) -> &Setup {
        &self.setup
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, _now: Time, _event: Event, _actions: &mut Vec<Action>) {}
}

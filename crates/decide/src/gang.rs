//! Gangs: tasks that all start together or not at all.

use serde::{Deserialize, Serialize};

use crate::name::Name;
use crate::request::{self, Request};
use crate::time::Time;

/// A request to hold places for members of a gang.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HoldRequest {
    /// The gang.
    pub gang: request::Id,
    /// The members that need a place here.
    pub members: Vec<Request>,
    /// When the places are released unless the gang has started.
    pub expires: Time,
}

/// Places held for a gang.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hold {
    /// The gang.
    pub gang: request::Id,
    /// The members that have a place, each with its worker.
    pub places: Vec<Place>,
}

/// A place held for one member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Place {
    /// The member.
    pub member: request::Id,
    /// The worker on which the place is held.
    pub worker: Name,
}

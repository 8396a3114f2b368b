//! Requests to run a task, without their payloads.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::class::Class;
use crate::name::Name;
use crate::size::Size;
use crate::time::Time;

/// The id of a request, unique in the whole fleet. Written as 32 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id(pub u128);

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// A text that is not the id of a request.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{text:?} is no request id; give 1 to 32 hexadecimal digits")]
pub struct IdError {
    /// The text as given.
    pub text: String,
}

impl FromStr for Id {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Id, IdError> {
        let digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let parsed = digits
            .then(|| u128::from_str_radix(text, 16).ok())
            .flatten();
        parsed.map(Id).ok_or_else(|| IdError {
            text: text.to_owned(),
        })
    }
}

impl Serialize for Id {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Id {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Id, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

/// One task to run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// The id, which stays the same when the caller sends the request again.
    pub id: Id,
    /// The team that it runs for and that is billed for it.
    pub team: Name,
    /// The service, queue or job that it belongs to. Actual sizes are learnt per kind.
    pub kind: Name,
    /// The class, which decides how urgently it is served.
    pub class: Class,
    /// The declared size.
    pub size: Size,
    /// The declared run time.
    pub estimate: Duration,
    /// When the caller stops waiting, or [`Time::MAX`] if it never does.
    pub deadline: Time,
    /// Whether it may be attempted again after an attempt that may have run.
    pub idempotent: bool,
    /// The gang that it starts together with, if any.
    pub gang: Option<Id>,
    /// The ownership that it was routed to. `None` allows any rack of the owner.
    #[serde(default)]
    pub target: Option<Target>,
}

/// The ownership of a rack that a request was routed to.
///
/// A server accepts a submitted or resumed request only while it owns the rack at exactly this
/// epoch, and answers `NoOwner` otherwise. It starts the request on no other rack. So a delayed
/// copy of a request never starts under a later ownership, and only one rack has to be asked what
/// became of the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The rack.
    pub rack: Name,
    /// The epoch of the rack's ownership.
    pub epoch: u64,
}

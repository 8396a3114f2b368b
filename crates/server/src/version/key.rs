//! Keys of teams and operators.

use azurepath_decide::name::Name;
use azurepath_decide::resource::Key;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::process::Process;

/// Why a request is not taken for a team.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Denied {
    /// The queue takes keyed work only, and no key came.
    #[error("the queue takes keyed work; send the header `Authorization: Bearer KEY`")]
    Missing,
    /// The key is unknown, wrong or withdrawn.
    #[error("the key is not valid; ask an operator of your team for a new one")]
    Invalid,
    /// The key is valid, but not for this.
    #[error("the key is an operator's; send work with a team's key")]
    Forbidden,
    /// This server can't know whether the key is still valid.
    #[error("this server is cut off and can't check the key; retry, another server will take it")]
    Isolated,
}

/// Returns the team whose key a token is.
///
/// # Errors
///
/// Returns [`Denied`] where no work may be taken with it.
pub fn authorize(process: &Process, token: Option<&str>) -> Result<Name, Denied> {
    check_standing(process)?;
    let token = token.ok_or(Denied::Missing)?;
    find(process, token)?.team.ok_or(Denied::Forbidden)
}

/// Checks that this server may act on its configuration.
///
/// # Errors
///
/// Returns [`Denied::Isolated`] where it has no recent evidence that nothing newer is in force.
pub fn check_standing(process: &Process) -> Result<(), Denied> {
    let current = process.config.is_current(process.clock.now());
    current.then_some(()).ok_or(Denied::Isolated)
}

/// Checks that a token is an operator's.
///
/// # Errors
///
/// Returns [`Denied`] where it is not, or where this server can't know.
pub fn authorize_operator(process: &Process, token: Option<&str>) -> Result<(), Denied> {
    let token = token.ok_or(Denied::Missing)?;
    let first = process.settings.operator.as_deref();
    if first.is_some_and(|first| equal(first, &hash(token))) {
        return Ok(());
    }
    check_standing(process)?;
    match find(process, token)?.team {
        None => Ok(()),
        Some(_) => Err(Denied::Forbidden),
    }
}

/// Returns the SHA-256 of a token as hexadecimal digits.
pub fn hash(token: &str) -> String {
    let digest = Sha256::digest(token.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn find(process: &Process, token: &str) -> Result<Key, Denied> {
    let (name, _) = token.split_once('.').ok_or(Denied::Invalid)?;
    let snapshot = process.snapshot.borrow();
    let key = snapshot.key(name).ok_or(Denied::Invalid)?;
    let valid = equal(&key.hash, &hash(token)) && !key.withdrawn;
    valid.then(|| key.clone()).ok_or(Denied::Invalid)
}

/// Compares in constant time.
fn equal(one: &str, other: &str) -> bool {
    one.as_bytes().ct_eq(other.as_bytes()).into()
}

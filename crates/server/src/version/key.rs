//! API keys of teams and operators.

use azurepath_decide::name::Name;
use azurepath_decide::resource::Key;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::process::Process;

/// The reason why a request is not authorized.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Denied {
    /// A key is required, but the request has none.
    #[error("the queue takes keyed work; send the header `Authorization: Bearer KEY`")]
    Missing,
    /// The key is unknown, has a wrong secret or is withdrawn.
    #[error("the key is not valid; ask an operator of your team for a new one")]
    Invalid,
    /// The key is valid, but of the wrong kind.
    #[error("the key is an operator's; send work with a team's key")]
    Forbidden,
    /// This server can't check whether the key is still valid.
    #[error("this server is cut off and can't check the key; retry, another server will take it")]
    Isolated,
}

/// Returns the team that a token belongs to.
///
/// # Errors
///
/// Returns [`Denied`] if the token is not a valid key of a team, or if this server can't check it.
pub fn authorize(process: &Process, token: Option<&str>) -> Result<Name, Denied> {
    check_standing(process)?;
    let token = token.ok_or(Denied::Missing)?;
    find(process, token)?.team.ok_or(Denied::Forbidden)
}

/// Checks that this server may act on its configuration.
///
/// # Errors
///
/// Returns [`Denied::Isolated`] if this server has no recent evidence that its configuration is the
/// newest.
pub fn check_standing(process: &Process) -> Result<(), Denied> {
    let current = process.config.is_current(process.clock.now());
    current.then_some(()).ok_or(Denied::Isolated)
}

/// Checks that a token is an operator's key.
///
/// The operator key of the settings is accepted even if the configuration may be out of date.
///
/// # Errors
///
/// Returns [`Denied`] if it is not, or if this server can't check it.
pub fn authorize_operator(process: &Process, token: Option<&str>) -> Result<(), Denied> {
    let token = token.ok_or(Denied::Missing)?;
    let configured = process.settings.operator.as_deref();
    if configured.is_some_and(|configured| equal_hashes(configured, &hash(token))) {
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
    let valid = equal_hashes(&key.hash, &hash(token)) && !key.withdrawn;
    valid.then(|| key.clone()).ok_or(Denied::Invalid)
}

/// Compares two strings in constant time.
fn equal_hashes(left: &str, right: &str) -> bool {
    left.as_bytes().ct_eq(right.as_bytes()).into()
}

//! Keys of teams.

use azurepath_decide::name::Name;
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
    let token = token.ok_or(Denied::Missing)?;
    let (name, _) = token.split_once('.').ok_or(Denied::Invalid)?;
    let snapshot = process.snapshot.borrow();
    let key = snapshot.key(name).ok_or(Denied::Invalid)?;
    let digest = Sha256::digest(token.as_bytes());
    let hash: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
    let equal: bool = hash.as_bytes().ct_eq(key.hash.as_bytes()).into();
    if !equal || key.withdrawn {
        return Err(Denied::Invalid);
    }
    key.team.clone().ok_or(Denied::Forbidden)
}

//! Kinds and names on the command line.

use azurepath_decide::resource::Kind;
use strum::IntoEnumIterator;

use crate::exit::Failure;

/// What servers show besides resources.
const OBSERVED: [&str; 3] = ["workers", "racks", "servers"];

/// Returns the collection of the API that a word names, such as `teams` for `team`.
///
/// # Errors
///
/// Returns a [`Failure`] that lists the kinds.
pub(crate) fn collection(word: &str) -> Result<String, Failure> {
    let kinds: Vec<String> = Kind::iter().map(|kind| format!("{kind}s")).collect();
    let all = kinds.iter().map(String::as_str).chain(OBSERVED);
    let mut all = all.chain(["resources"]);
    let found = all.find(|name| *name == word || name.strip_suffix('s') == Some(word));
    found.map(str::to_owned).ok_or_else(|| {
        Failure::usage(format!(
            "{word:?} is no kind; the kinds are {}, {}",
            kinds.join(", "),
            OBSERVED.join(", ")
        ))
    })
}

/// Returns the collection and the name of one resource, from `KIND NAME` or `KIND/NAME`.
///
/// # Errors
///
/// Returns a [`Failure`] that shows what to type.
pub(crate) fn one(command: &str, words: &[String]) -> Result<(String, String), Failure> {
    let pair = match words {
        [kind, name] => Some((kind.as_str(), name.as_str())),
        [both] => both.split_once('/'),
        _ => None,
    };
    let (kind, name) = pair.ok_or_else(|| {
        Failure::usage(format!(
            "one resource is meant; type azurectl {command} KIND NAME"
        ))
    })?;
    Ok((collection(kind)?, name.to_owned()))
}

//! Kinds and names of resources on the command line.

use azurepath_decide::resource::Kind;
use strum::IntoEnumIterator;

use crate::exit::Failure;

/// The read-only collections that servers provide besides the resources.
const READ_ONLY: [&str; 3] = ["workers", "racks", "servers"];

/// Returns the API collection that a word refers to, such as `teams` for `team`.
///
/// # Errors
///
/// Returns a [`Failure`] that lists the kinds if the kind is unknown.
pub(crate) fn collection(word: &str) -> Result<String, Failure> {
    let kinds: Vec<String> = Kind::iter().map(|kind| format!("{kind}s")).collect();
    let all = kinds.iter().map(String::as_str).chain(READ_ONLY);
    let mut all = all.chain(["resources"]);
    let found = all.find(|name| *name == word || name.strip_suffix('s') == Some(word));
    found.map(str::to_owned).ok_or_else(|| {
        Failure::usage(format!(
            "{word:?} is not a known kind; the kinds are {}, {}",
            kinds.join(", "),
            READ_ONLY.join(", ")
        ))
    })
}

/// Parses `KIND NAME` or `KIND/NAME` and returns the collection and name of the resource.
///
/// # Errors
///
/// Returns a [`Failure`] that shows the expected arguments.
pub(crate) fn resource(command: &str, words: &[String]) -> Result<(String, String), Failure> {
    let pair = match words {
        [kind, name] => Some((kind.as_str(), name.as_str())),
        [both] => both.split_once('/'),
        _ => None,
    };
    let (kind, name) = pair.ok_or_else(|| {
        Failure::usage(format!(
            "expected one resource; type azurectl {command} KIND NAME"
        ))
    })?;
    Ok((collection(kind)?, name.to_owned()))
}

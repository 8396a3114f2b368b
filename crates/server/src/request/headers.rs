//! The headers of a request.

use std::time::Duration;

use azurepath_decide::request::Id;
use azurepath_decide::size::Size;
use http::{HeaderMap, HeaderName, header};

use super::problem::Problem;

/// The id of a request, given by callers that may repeat it.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("azurepath-request-id");

/// The time that the caller is willing to wait, such as `1500ms` or `30s`.
pub const PATIENCE: HeaderName = HeaderName::from_static("azurepath-patience");

/// The thousandths of a CPU core that the request needs.
pub const MILLICORES: HeaderName = HeaderName::from_static("azurepath-millicores");

/// The mebibytes of memory that the request needs.
pub const MEMORY_MIB: HeaderName = HeaderName::from_static("azurepath-memory-mib");

/// The accelerators that the request needs.
pub const ACCELERATORS: HeaderName = HeaderName::from_static("azurepath-accelerators");

/// Whether the request ran. Every response carries this header.
pub const RAN: HeaderName = HeaderName::from_static("azurepath-ran");

/// The worker that ran the request.
pub const WORKER: HeaderName = HeaderName::from_static("azurepath-worker");

/// The number of the attempt that ran or may have run.
pub const ATTEMPT: HeaderName = HeaderName::from_static("azurepath-attempt");

/// The parsed headers of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Headers {
    /// The key, if given.
    pub token: Option<String>,
    /// The request id, if given.
    pub id: Option<Id>,
    /// The patience, if given.
    pub patience: Option<Duration>,
    /// The amounts that override those of the queue.
    pub size: Amounts,
}

/// The resource amounts that a caller declares.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Amounts {
    /// Thousandths of a CPU core.
    pub millicores: Option<u64>,
    /// Mebibytes of memory.
    pub memory_mib: Option<u64>,
    /// Accelerators.
    pub accelerators: Option<u64>,
}

impl Amounts {
    /// Returns the declared amounts, with those of `size` where none is declared.
    pub fn or_defaults(&self, size: Size) -> Size {
        Size {
            millicores: self.millicores.unwrap_or(size.millicores),
            memory_mib: self.memory_mib.unwrap_or(size.memory_mib),
            accelerators: self.accelerators.unwrap_or(size.accelerators),
            slots: size.slots,
        }
    }
}

impl Headers {
    /// Parses the headers.
    ///
    /// # Errors
    ///
    /// Returns [`Problem::Header`] for the first invalid header.
    pub fn read(map: &HeaderMap) -> Result<Headers, Problem> {
        let id = text(map, &REQUEST_ID)?
            .map(|text| text.parse::<Id>())
            .transpose()
            .map_err(|error| Problem::Header {
                name: REQUEST_ID,
                remedy: error.to_string(),
            })?;
        let patience = text(map, &PATIENCE)?
            .map(|text| duration(text).ok_or_else(|| patience_problem(text)))
            .transpose()?;
        Ok(Headers {
            token: token(map)?,
            id,
            patience,
            size: Amounts {
                millicores: number(map, &MILLICORES)?,
                memory_mib: number(map, &MEMORY_MIB)?,
                accelerators: number(map, &ACCELERATORS)?,
            },
        })
    }
}

fn patience_problem(text: &str) -> Problem {
    Problem::Header {
        name: PATIENCE,
        remedy: format!(
            "{text:?} is no patience; give a whole number with ms or s, such as 1500ms"
        ),
    }
}

/// Parses a duration that is not zero.
fn duration(text: &str) -> Option<Duration> {
    crate::settings::duration(text).filter(|duration| !duration.is_zero())
}

/// Returns the token of the `Authorization` header.
fn token(map: &HeaderMap) -> Result<Option<String>, Problem> {
    let Some(text) = text(map, &header::AUTHORIZATION)? else {
        return Ok(None);
    };
    let token = text.strip_prefix("Bearer ").map(str::trim);
    let token = token.filter(|token| !token.is_empty());
    token
        .map(|token| Some(token.to_owned()))
        .ok_or_else(|| Problem::Header {
            name: header::AUTHORIZATION,
            remedy: "send `Authorization: Bearer KEY`".to_owned(),
        })
}

fn number(map: &HeaderMap, name: &HeaderName) -> Result<Option<u64>, Problem> {
    let Some(text) = text(map, name)? else {
        return Ok(None);
    };
    let parsed = text.parse().map_err(|_| Problem::Header {
        name: name.clone(),
        remedy: format!("{text:?} is no whole number"),
    })?;
    Ok(Some(parsed))
}

/// Returns the value of a header that must not be repeated.
fn text<'a>(map: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, Problem> {
    let mut values = map.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(Problem::Header {
            name: name.clone(),
            remedy: "it came twice; send it once".to_owned(),
        });
    }
    value.to_str().map(Some).map_err(|_| Problem::Header {
        name: name.clone(),
        remedy: "it is no ASCII text".to_owned(),
    })
}

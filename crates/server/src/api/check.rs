//! The check of a document, which finds every fault at once.

use azurepath_decide::class::Class;
use azurepath_decide::config::Snapshot;
use azurepath_decide::resource::{Kind, Resource};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use strum::IntoEnumIterator;

/// The longest name.
const NAME_LENGTH: usize = 63;

/// The longest text.
const TEXT_LENGTH: usize = 256;

/// The most tasks or replicas of one resource.
const MOST_TASKS: u64 = 100_000;

/// The largest share.
const MOST_SHARE: u64 = 1_000_000;

/// The longest declared run time, in milliseconds.
const MOST_ESTIMATE_MS: u64 = 30 * 24 * 3_600_000;

/// The largest number that a size may hold of any resource.
const MOST_AMOUNT: u64 = 1 << 53;

/// The length of a SHA-256 in hexadecimal digits.
const HASH_DIGITS: usize = 64;

/// One fault of a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// Where it is, such as `limit.slots`.
    pub path: String,
    /// What is wrong and what to write instead.
    pub message: String,
}

/// What a field holds.
#[derive(Clone, Copy)]
enum Type {
    Name,
    Team,
    Number { least: u64, most: u64 },
    Flag,
    Size { empty: bool },
    Class,
    Hash,
    Text,
}

/// A field of a document.
struct Field {
    name: &'static str,
    holds: Type,
    required: bool,
}

const fn must(name: &'static str, holds: Type) -> Field {
    Field {
        name,
        holds,
        required: true,
    }
}

const fn may(name: &'static str, holds: Type) -> Field {
    Field {
        name,
        holds,
        required: false,
    }
}

const ESTIMATE: Type = Type::Number {
    least: 0,
    most: MOST_ESTIMATE_MS,
};

const TASKS: Type = Type::Number {
    least: 1,
    most: MOST_TASKS,
};

const SIZES: [&str; 4] = ["millicores", "memory_mib", "accelerators", "slots"];

fn fields(kind: Kind) -> &'static [Field] {
    match kind {
        Kind::Team => {
            const {
                &[
                    must("account", Type::Name),
                    must(
                        "share",
                        Type::Number {
                            least: 1,
                            most: MOST_SHARE,
                        },
                    ),
                    must("limit", Type::Size { empty: true }),
                ]
            }
        }
        Kind::Key => {
            const {
                &[
                    may("team", Type::Team),
                    must("hash", Type::Hash),
                    may("withdrawn", Type::Flag),
                ]
            }
        }
        Kind::Queue => {
            const {
                &[
                    may("open_to", Type::Team),
                    must("class", Type::Class),
                    must("size", Type::Size { empty: false }),
                    must("estimate_ms", ESTIMATE),
                    must("idempotent", Type::Flag),
                ]
            }
        }
        Kind::Service => {
            const {
                &[
                    must("team", Type::Team),
                    must(
                        "replicas",
                        Type::Number {
                            least: 0,
                            most: MOST_TASKS,
                        },
                    ),
                    must("size", Type::Size { empty: false }),
                ]
            }
        }
        Kind::Drain => const { &[may("reason", Type::Text)] },
        Kind::Job => {
            const {
                &[
                    must("team", Type::Team),
                    must("tasks", TASKS),
                    must("size", Type::Size { empty: false }),
                    must("estimate_ms", ESTIMATE),
                    may("gang", Type::Flag),
                    may(
                        "retries",
                        Type::Number {
                            least: 0,
                            most: 1_000,
                        },
                    ),
                    may("idempotent", Type::Flag),
                ]
            }
        }
    }
}

struct Checker<'a> {
    snapshot: &'a Snapshot,
    faults: Vec<Fault>,
}

/// Reads a document of a kind and a name.
///
/// `kind` and `name` may be left out of the document, since the path gives them.
///
/// # Errors
///
/// Returns all faults of the document, each with its path.
pub fn read(
    snapshot: &Snapshot,
    kind: Kind,
    name: &str,
    document: Value,
) -> Result<Resource, Vec<Fault>> {
    let mut checker = Checker {
        snapshot,
        faults: Vec::new(),
    };
    let Value::Object(mut map) = document else {
        checker.fault("", "it is no object; write {\"field\": value, ...}");
        return Err(checker.faults);
    };
    checker.identity(&mut map, kind, name);
    checker.unknown(&map, kind);
    for field in fields(kind) {
        match map.get(field.name) {
            None | Some(Value::Null) if field.required => checker.fault(field.name, "is missing"),
            None | Some(Value::Null) => {}
            Some(value) => checker.value(field, value),
        }
    }
    if !checker.faults.is_empty() {
        return Err(checker.faults);
    }
    serde_json::from_value(Value::Object(map)).map_err(|error| {
        checker.fault("", &error.to_string());
        checker.faults
    })
}

impl Checker<'_> {
    fn fault(&mut self, path: &str, message: &str) {
        self.faults.push(Fault {
            path: path.to_owned(),
            message: message.to_owned(),
        });
    }

    /// Checks that kind and name are those of the path, and fills them in.
    fn identity(&mut self, map: &mut Map<String, Value>, kind: Kind, name: &str) {
        for (field, value) in [("kind", kind.to_string()), ("name", name.to_owned())] {
            let given = map.insert(field.to_owned(), Value::String(value.clone()));
            if given.is_some_and(|given| given != Value::String(value.clone())) {
                self.fault(field, &format!("is not that of the path; write {value:?}"));
            }
        }
        if !is_name(name) {
            self.fault("name", NAME_REMEDY);
        }
    }

    fn unknown(&mut self, map: &Map<String, Value>, kind: Kind) {
        let known: Vec<&str> = fields(kind).iter().map(|field| field.name).collect();
        let list = known.join(", ");
        for field in map.keys() {
            if !known.contains(&field.as_str()) && !["kind", "name"].contains(&field.as_str()) {
                self.fault(
                    field,
                    &format!("is no field of a {kind}; the fields are {list}"),
                );
            }
        }
    }

    fn value(&mut self, field: &Field, value: &Value) {
        match field.holds {
            Type::Name => {
                if !value.as_str().is_some_and(is_name) {
                    self.fault(field.name, NAME_REMEDY);
                }
            }
            Type::Team => self.team(field.name, value),
            Type::Number { least, most } => self.number(field.name, value, least, most),
            Type::Flag => {
                if !value.is_boolean() {
                    self.fault(field.name, "write true or false");
                }
            }
            Type::Size { empty } => self.size(field.name, value, empty),
            Type::Class => {
                let known = value
                    .as_str()
                    .is_some_and(|text| text.parse::<Class>().is_ok());
                if !known {
                    let classes: Vec<String> = Class::iter().map(|c| c.to_string()).collect();
                    self.fault(field.name, &format!("write one of {}", classes.join(", ")));
                }
            }
            Type::Text => {
                let right = value.as_str().is_some_and(|text| text.len() <= TEXT_LENGTH);
                if !right {
                    self.fault(field.name, "write a text of at most 256 bytes");
                }
            }
            Type::Hash => {
                let right = value.as_str().is_some_and(|text| {
                    text.len() == HASH_DIGITS && text.bytes().all(|b| b.is_ascii_hexdigit())
                });
                if !right {
                    self.fault(field.name, "write the SHA-256 as 64 hexadecimal digits");
                }
            }
        }
    }

    fn team(&mut self, path: &str, value: &Value) {
        let Some(name) = value.as_str() else {
            self.fault(path, "write the name of a team");
            return;
        };
        if self.snapshot.get(Kind::Team, name).is_none() {
            self.fault(path, &format!("there is no team {name:?}; create it first"));
        }
    }

    fn number(&mut self, path: &str, value: &Value, least: u64, most: u64) {
        let fits = value
            .as_u64()
            .is_some_and(|number| (least..=most).contains(&number));
        if !fits {
            self.fault(
                path,
                &format!("write a whole number from {least} to {most}"),
            );
        }
    }

    fn size(&mut self, path: &str, value: &Value, empty: bool) {
        let Value::Object(map) = value else {
            self.fault(
                path,
                "write an object with millicores, memory_mib, accelerators, slots",
            );
            return;
        };
        for (name, value) in map {
            let path = format!("{path}.{name}");
            if SIZES.contains(&name.as_str()) {
                self.number(&path, value, 0, MOST_AMOUNT);
            } else {
                self.fault(
                    &path,
                    &format!("is no resource; they are {}", SIZES.join(", ")),
                );
            }
        }
        let some = SIZES
            .iter()
            .any(|name| map.get(*name).and_then(Value::as_u64) > Some(0));
        if !some && !empty {
            self.fault(path, "asks for nothing; write at least one slot");
        }
    }
}

const NAME_REMEDY: &str = "write a name of 1 to 63 letters, digits, '-' and '_'";

fn is_name(text: &str) -> bool {
    let right = |letter: char| letter.is_ascii_alphanumeric() || "-_".contains(letter);
    !text.is_empty() && text.len() <= NAME_LENGTH && text.chars().all(right)
}

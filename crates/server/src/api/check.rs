//! Validation of resource documents, which reports all faults at once.

use azurepath_decide::class::Class;
use azurepath_decide::config::Snapshot;
use azurepath_decide::resource::{Kind, Resource};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use strum::IntoEnumIterator;

/// The maximum length of a name in bytes.
const MAX_NAME_BYTES: usize = 63;

/// The maximum length of a text in bytes.
const MAX_TEXT_BYTES: usize = 256;

/// The maximum number of tasks or replicas of a resource.
const MAX_TASKS: u64 = 100_000;

/// The maximum share of a team.
const MAX_SHARE: u64 = 1_000_000;

/// The maximum declared run time, in milliseconds: 30 days.
const MAX_ESTIMATE_MS: u64 = 30 * 24 * 3_600_000;

/// The maximum amount of any resource in a size.
const MAX_AMOUNT: u64 = 1 << 53;

/// The length of a SHA-256 in hexadecimal digits.
const HASH_DIGITS: usize = 64;

/// A fault of a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// The path of the faulty field, such as `limit.slots`.
    pub path: String,
    /// What is wrong and what to write instead.
    pub message: String,
}

/// The type of a field.
#[derive(Clone, Copy)]
enum Type {
    Name,
    Team,
    Number { min: u64, max: u64 },
    Boolean,
    Size { empty_ok: bool },
    Class,
    Hash,
    Text,
}

/// A field that a document may have.
struct Field {
    name: &'static str,
    field_type: Type,
    required: bool,
}

const fn required(name: &'static str, field_type: Type) -> Field {
    Field {
        name,
        field_type,
        required: true,
    }
}

const fn optional(name: &'static str, field_type: Type) -> Field {
    Field {
        name,
        field_type,
        required: false,
    }
}

const ESTIMATE: Type = Type::Number {
    min: 0,
    max: MAX_ESTIMATE_MS,
};

const TASK_COUNT: Type = Type::Number {
    min: 1,
    max: MAX_TASKS,
};

/// The fields of a size.
const SIZE_FIELDS: [&str; 4] = ["millicores", "memory_mib", "accelerators", "slots"];

/// Returns the fields of a kind, without `kind` and `name`.
fn fields(kind: Kind) -> &'static [Field] {
    match kind {
        Kind::Team => {
            const {
                &[
                    required("account", Type::Name),
                    required(
                        "share",
                        Type::Number {
                            min: 1,
                            max: MAX_SHARE,
                        },
                    ),
                    required("limit", Type::Size { empty_ok: true }),
                ]
            }
        }
        Kind::Key => {
            const {
                &[
                    optional("team", Type::Team),
                    required("hash", Type::Hash),
                    optional("withdrawn", Type::Boolean),
                ]
            }
        }
        Kind::Queue => {
            const {
                &[
                    optional("open_to", Type::Team),
                    required("class", Type::Class),
                    required("size", Type::Size { empty_ok: false }),
                    required("estimate_ms", ESTIMATE),
                    required("idempotent", Type::Boolean),
                ]
            }
        }
        Kind::Service => {
            const {
                &[
                    required("team", Type::Team),
                    required(
                        "replicas",
                        Type::Number {
                            min: 0,
                            max: MAX_TASKS,
                        },
                    ),
                    required("size", Type::Size { empty_ok: false }),
                ]
            }
        }
        Kind::Drain => const { &[optional("reason", Type::Text)] },
        Kind::Job => {
            const {
                &[
                    required("team", Type::Team),
                    required("tasks", TASK_COUNT),
                    required("size", Type::Size { empty_ok: false }),
                    required("estimate_ms", ESTIMATE),
                    optional("gang", Type::Boolean),
                    optional("retries", Type::Number { min: 0, max: 1_000 }),
                    optional("idempotent", Type::Boolean),
                ]
            }
        }
    }
}

struct Checker<'a> {
    snapshot: &'a Snapshot,
    faults: Vec<Fault>,
}

/// Parses the document of a resource and checks it.
///
/// The document may leave out `kind` and `name`, which are given by the path.
///
/// # Errors
///
/// Returns all faults of the document.
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
    checker.check_identity(&mut map, kind, name);
    checker.check_unknown_fields(&map, kind);
    for field in fields(kind) {
        match map.get(field.name) {
            None | Some(Value::Null) if field.required => checker.fault(field.name, "is missing"),
            None | Some(Value::Null) => {}
            Some(value) => checker.check_value(field, value),
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

    /// Checks that `kind` and `name` are those of the path, and fills them in.
    fn check_identity(&mut self, map: &mut Map<String, Value>, kind: Kind, name: &str) {
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

    /// Reports fields that the kind does not have.
    fn check_unknown_fields(&mut self, map: &Map<String, Value>, kind: Kind) {
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

    fn check_value(&mut self, field: &Field, value: &Value) {
        match field.field_type {
            Type::Name => {
                if !value.as_str().is_some_and(is_name) {
                    self.fault(field.name, NAME_REMEDY);
                }
            }
            Type::Team => self.check_team(field.name, value),
            Type::Number { min, max } => self.check_number(field.name, value, min, max),
            Type::Boolean => {
                if !value.is_boolean() {
                    self.fault(field.name, "write true or false");
                }
            }
            Type::Size { empty_ok } => self.check_size(field.name, value, empty_ok),
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
                let valid = value
                    .as_str()
                    .is_some_and(|text| text.len() <= MAX_TEXT_BYTES);
                if !valid {
                    self.fault(field.name, "write a text of at most 256 bytes");
                }
            }
            Type::Hash => {
                let valid = value.as_str().is_some_and(|text| {
                    text.len() == HASH_DIGITS && text.bytes().all(|b| b.is_ascii_hexdigit())
                });
                if !valid {
                    self.fault(field.name, "write the SHA-256 as 64 hexadecimal digits");
                }
            }
        }
    }

    /// Checks that a team of this name exists.
    fn check_team(&mut self, path: &str, value: &Value) {
        let Some(name) = value.as_str() else {
            self.fault(path, "write the name of a team");
            return;
        };
        if self.snapshot.get(Kind::Team, name).is_none() {
            self.fault(path, &format!("there is no team {name:?}; create it first"));
        }
    }

    fn check_number(&mut self, path: &str, value: &Value, min: u64, max: u64) {
        let valid = value
            .as_u64()
            .is_some_and(|number| (min..=max).contains(&number));
        if !valid {
            self.fault(path, &format!("write a whole number from {min} to {max}"));
        }
    }

    fn check_size(&mut self, path: &str, value: &Value, empty_ok: bool) {
        let Value::Object(map) = value else {
            self.fault(
                path,
                "write an object with millicores, memory_mib, accelerators, slots",
            );
            return;
        };
        for (name, value) in map {
            let path = format!("{path}.{name}");
            if SIZE_FIELDS.contains(&name.as_str()) {
                self.check_number(&path, value, 0, MAX_AMOUNT);
            } else {
                self.fault(
                    &path,
                    &format!("is no resource; they are {}", SIZE_FIELDS.join(", ")),
                );
            }
        }
        let any = SIZE_FIELDS
            .iter()
            .any(|name| map.get(*name).and_then(Value::as_u64) > Some(0));
        if !any && !empty_ok {
            self.fault(path, "asks for nothing; write at least one slot");
        }
    }
}

const NAME_REMEDY: &str = "write a name of 1 to 63 letters, digits, '-' and '_'";

fn is_name(text: &str) -> bool {
    let valid = |letter: char| letter.is_ascii_alphanumeric() || "-_".contains(letter);
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.chars().all(valid)
}

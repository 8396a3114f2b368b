//! Names and the collections keyed by them.

use std::sync::Arc;

/// A shared immutable string that names a team, a rack, a worker or a server.
pub type Name = Arc<str>;

/// A hash map with a fast hasher and a fixed seed.
///
/// No decision may depend on its order. Use a `BTreeMap` where the order matters.
pub type Map<K, V> = std::collections::HashMap<K, V, foldhash::fast::FixedState>;

/// A hash set with a fast hasher and a fixed seed.
pub type Set<K> = std::collections::HashSet<K, foldhash::fast::FixedState>;

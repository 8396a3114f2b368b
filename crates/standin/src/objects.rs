//! The objects of the object store.

use std::collections::BTreeMap;

use bytes::Bytes;

/// The objects by name.
#[derive(Debug, Default)]
pub(crate) struct Objects {
    objects: BTreeMap<String, Bytes>,
}

impl Objects {
    /// Writes an object.
    pub(crate) fn put(&mut self, name: &str, data: Bytes) {
        self.objects.insert(name.to_owned(), data);
    }

    /// Reads an object.
    pub(crate) fn get(&self, name: &str) -> Option<Bytes> {
        self.objects.get(name).cloned()
    }

    /// Lists the names that begin with `prefix`.
    pub(crate) fn list(&self, prefix: &str) -> Vec<String> {
        let range = self.objects.range(prefix.to_owned()..);
        range
            .map(|(name, _)| name)
            .take_while(|name| name.starts_with(prefix))
            .cloned()
            .collect()
    }
}

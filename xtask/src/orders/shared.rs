//! A part of a state with copy-on-write and a cached hash, for parts that few steps change.

use std::{
    cell::Cell,
    hash::{Hash, Hasher},
    ops::{Deref, DerefMut},
    rc::Rc,
};

use xxhash_rust::xxh3::Xxh3;

/// A copy-on-write value that caches its hash until it is changed.
#[derive(Clone, Debug, Default)]
pub(crate) struct Shared<T> {
    value: Rc<T>,
    hash: Cell<Option<u64>>,
}

impl<T> From<T> for Shared<T> {
    fn from(value: T) -> Self {
        Self { value: Rc::new(value), hash: Cell::new(None) }
    }
}

impl<T> Deref for Shared<T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.value
    }
}

impl<T: Clone> DerefMut for Shared<T> {
    fn deref_mut(&mut self) -> &mut T {
        self.hash.set(None);
        Rc::make_mut(&mut self.value)
    }
}

impl<T: Hash> Hash for Shared<T> {
    fn hash<H: Hasher>(&self, to: &mut H) {
        let hash = self.hash.get().unwrap_or_else(|| digest(&*self.value));
        self.hash.set(Some(hash));
        hash.hash(to);
    }
}

/// Computes a 64-bit hash that is the same in every run of the program.
pub(crate) fn digest<T: Hash>(it: &T) -> u64 {
    let mut hasher = Xxh3::new();
    it.hash(&mut hasher);
    hasher.finish()
}

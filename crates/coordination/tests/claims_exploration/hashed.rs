//! Shared values that carry their hash, so that a new state hashes only what changed.

use {
    crate::explorer::hash_of,
    std::{
        cmp::Ordering,
        hash::{Hash, Hasher},
        ops::Deref,
        rc::Rc,
    },
};

/// A shared value with its 128-bit hash, which is compared in place of the value.
#[derive(Debug)]
pub struct Hashed<T>(Rc<T>, u128);

impl<T: Hash> Hashed<T> {
    pub fn new(value: T) -> Self {
        let hash = hash_of(&value);
        Self(Rc::new(value), hash)
    }
}

impl<T> Clone for Hashed<T> {
    fn clone(&self) -> Self {
        Self(Rc::clone(&self.0), self.1)
    }
}

impl<T> Deref for Hashed<T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.0
    }
}

impl<T> Hash for Hashed<T> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        state.write_u128(self.1);
    }
}

impl<T> PartialEq for Hashed<T> {
    fn eq(&self, other: &Self) -> bool {
        self.1 == other.1
    }
}

impl<T> Eq for Hashed<T> {}

impl<T> PartialOrd for Hashed<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Hashed<T> {
    fn cmp(&self, other: &Self) -> Ordering {
        self.1.cmp(&other.1)
    }
}

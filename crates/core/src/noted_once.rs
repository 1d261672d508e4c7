//! Counter of faulty items, each of which is counted and logged once.

use std::{
    collections::HashSet,
    hash::Hash,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

/// Items that are remembered. Further ones are counted each time that they are seen, and not logged.
const MAX_REMEMBERED: usize = 256;

/// Faulty items that were seen, such as entries that cannot be read.
#[derive(Debug)]
pub struct NotedOnce<T> {
    remembered: Mutex<HashSet<T>>,
    count: AtomicU64,
}

impl<T> Default for NotedOnce<T> {
    fn default() -> Self {
        Self {
            remembered: Mutex::default(),
            count: AtomicU64::default(),
        }
    }
}

impl<T: Eq + Hash> NotedOnce<T> {
    /// Counts an item, unless it is remembered. Returns whether to log it.
    pub fn note(&self, item: T) -> bool {
        let mut remembered = self
            .remembered
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if remembered.contains(&item) {
            return false;
        }
        self.count.fetch_add(1, Ordering::Relaxed);
        remembered.len() < MAX_REMEMBERED && remembered.insert(item)
    }

    /// Items counted since the start.
    pub fn count(&self) -> u64 {
        self.count.load(Ordering::Relaxed)
    }
}

//! Concurrency limits of catalogue entries.

use {jujubeline_core::EntryName, std::collections::HashMap};

/// Capacity of the table, equal to the largest number of entries in a catalogue.
const MAX_ENTRIES: usize = 16_384;

/// Index of an entry in the table. It is valid until [`EntryLimit::reclaim`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct EntrySlot(usize);

/// Counts the running exchanges at the local target by catalogue entry and applies the concurrency limit of each entry.
#[derive(Debug, Default)]
pub struct EntryLimit {
    slots: HashMap<EntryName, EntrySlot>,
    entries: Vec<EntryUsage>,
    free: Vec<EntrySlot>,
    refused: u64,
}

#[derive(Debug)]
struct EntryUsage {
    concurrency: u32,
    running: u32,
}

impl EntryLimit {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Finds or adds an entry and sets its limit to `concurrency`. Returns `None` when the table is full.
    pub fn slot(&mut self, entry: &EntryName, concurrency: u32) -> Option<EntrySlot> {
        if let Some(&slot) = self.slots.get(entry) {
            self.entries[slot.0].concurrency = concurrency;
            return Some(slot);
        }
        let running = EntryUsage {
            concurrency,
            running: 0,
        };
        let slot = if let Some(slot) = self.free.pop() {
            self.entries[slot.0] = running;
            slot
        } else if self.entries.len() < MAX_ENTRIES {
            self.entries.push(running);
            EntrySlot(self.entries.len() - 1)
        } else {
            self.refused += 1;
            return None;
        };
        self.slots.insert(entry.clone(), slot);
        Some(slot)
    }

    /// Whether the table has no free slot.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.free.is_empty() && self.entries.len() >= MAX_ENTRIES
    }

    /// Removes the entries without a running exchange, such as those removed from the catalogue. Their slots become
    /// invalid, so no waiting request may refer to one.
    pub fn reclaim(&mut self) {
        let (entries, free) = (&self.entries, &mut self.free);
        self.slots.retain(|_, slot| {
            let runs = entries[slot.0].running > 0;
            if !runs {
                free.push(*slot);
            }
            runs
        });
    }

    /// Whether another exchange of the entry may run.
    #[must_use]
    pub fn has_room(&self, slot: EntrySlot) -> bool {
        let entry = &self.entries[slot.0];
        entry.running < entry.concurrency
    }

    /// Counts an exchange that starts.
    pub fn start(&mut self, slot: EntrySlot) {
        self.entries[slot.0].running += 1;
    }

    /// Counts an exchange that ends.
    pub fn end(&mut self, slot: EntrySlot) {
        let entry = &mut self.entries[slot.0];
        entry.running = entry.running.saturating_sub(1);
    }

    /// Number of running exchanges of the entry.
    #[must_use]
    pub fn running(&self, slot: EntrySlot) -> u32 {
        self.entries[slot.0].running
    }

    /// Total number of attempts to add an entry that failed because the table was full.
    #[must_use]
    pub const fn refused(&self) -> u64 {
        self.refused
    }
}

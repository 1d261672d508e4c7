//! Admission threshold over class and root request.

use {
    derive_more::Display,
    jujubeline_core::{Class, ROOT_SLOTS, RootId, root_slot},
};

/// Root slots of each class that are admitted as long as no critical request is refused. Calls of exchanges in flight
/// take precedence and can occupy a whole target. Without this share, a class that such a target receives directly had
/// only 0.06 of its requests served.
const MIN_SLOTS: u16 = ROOT_SLOTS / 8;

/// Number of admitted keys, where the key of a request is its class rank times 128 plus the slot of its root request.
///
/// All requests of one root and class get the same decision at the same level, so a call chain is admitted or refused
/// as a whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[display("{_0}")]
pub struct Level(u16);

impl Level {
    /// Number of distinct request keys: four classes of 128 root slots.
    pub const KEYS: usize = 512;
    /// Admits everything.
    pub const OPEN: Self = Self(512);
    /// Admits the critical class only.
    pub const CRITICAL_ONLY: Self = Self(ROOT_SLOTS);
    /// Admits a single root slot of the critical class.
    pub const LOWEST: Self = Self(1);

    /// Creates a level from the value of a header, clamped to the range from [`Level::LOWEST`] to [`Level::OPEN`].
    #[must_use]
    pub const fn new(keys: u16) -> Self {
        if keys > Self::OPEN.0 {
            return Self::OPEN;
        }
        if keys < Self::LOWEST.0 {
            return Self::LOWEST;
        }
        Self(keys)
    }

    /// Number of admitted keys, as sent in the header.
    #[must_use]
    pub const fn keys(self) -> u16 {
        self.0
    }

    /// Key of a request, from 0 for the first slot of the critical class to 511 for the last slot of the low class.
    #[must_use]
    pub fn key(class: Class, root: RootId) -> u16 {
        const FIRST_KEYS: [u16; 4] = [0, ROOT_SLOTS, 2 * ROOT_SLOTS, 3 * ROOT_SLOTS];
        FIRST_KEYS[class.rank()] + u16::from(root_slot(root))
    }

    /// Translates a level that applies to calls of class `from` into a level for the requests of class `to` that make
    /// these calls. It admits the same share of root requests, so that a request whose calls would be refused is
    /// refused upstream.
    #[must_use]
    pub fn translated(self, from: Class, to: Class) -> Self {
        let first_key = |class: Class| Self::key(class, 0) / ROOT_SLOTS * ROOT_SLOTS;
        let slots = self.0.saturating_sub(first_key(from)).min(ROOT_SLOTS);
        if slots == ROOT_SLOTS {
            return Self::OPEN;
        }
        Self::new(first_key(to) + slots)
    }

    /// Whether the level admits a request. A level that admits all critical requests also admits an eighth of the root
    /// slots of each other class.
    #[must_use]
    pub fn admits(self, class: Class, root: RootId) -> bool {
        let has_share = self >= Self::CRITICAL_ONLY && u16::from(root_slot(root)) < MIN_SLOTS;
        has_share || Self::key(class, root) < self.0
    }
}

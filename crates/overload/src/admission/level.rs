//! A threshold over class and root request.

use {
    derive_more::Display,
    jujubeline_core::{Class, ROOT_SLOTS, RootId, root_slot},
};

/// Slots of each class that are admitted unless critical requests are refused as well. Calls of exchanges in flight go
/// first and can take a whole target; without a share of its own a class that is asked for directly was served 0.06 of
/// its requests there.
const MIN_SLOTS: u16 = ROOT_SLOTS / 8;

/// Number of admitted keys, where the key of a request is its class rank times 128 plus the slot of its root request.
///
/// All requests of one root and class get the same decision at the same level, so a call chain is admitted or refused as
/// a whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[display("{_0}")]
pub struct Level(u16);

impl Level {
    /// Number of keys.
    pub const KEYS: usize = 512;
    /// Admits everything.
    pub const OPEN: Self = Self(512);
    /// Admits the critical class only.
    pub const CRITICAL_ONLY: Self = Self(ROOT_SLOTS);
    /// Admits one slot of the critical class.
    pub const LOWEST: Self = Self(1);

    /// A level from a header; values outside the range are clamped.
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

    /// Number of admitted keys, for the header.
    #[must_use]
    pub const fn keys(self) -> u16 {
        self.0
    }

    /// Key of a request.
    #[must_use]
    pub fn key(class: Class, root: RootId) -> u16 {
        const FIRST_KEYS: [u16; 4] = [0, ROOT_SLOTS, 2 * ROOT_SLOTS, 3 * ROOT_SLOTS];
        FIRST_KEYS[class.rank()] + u16::from(root_slot(root))
    }

    /// The level for requests of another class whose calls have the class of this one: the same share of the root
    /// requests is admitted, so that a request is refused in front whose calls would be refused.
    #[must_use]
    pub fn translated(self, from: Class, to: Class) -> Self {
        let first_key = |class: Class| Self::key(class, 0) / ROOT_SLOTS * ROOT_SLOTS;
        let slots = self.0.saturating_sub(first_key(from)).min(ROOT_SLOTS);
        if slots == ROOT_SLOTS {
            return Self::OPEN;
        }
        Self::new(first_key(to) + slots)
    }

    /// Whether the level admits a request. A level that admits all critical requests admits a part of each other class.
    #[must_use]
    pub fn admits(self, class: Class, root: RootId) -> bool {
        let has_share = self >= Self::CRITICAL_ONLY && u16::from(root_slot(root)) < MIN_SLOTS;
        has_share || Self::key(class, root) < self.0
    }
}

//! Classes of importance.

use {
    derive_more::{Display, Error},
    serde::{Deserialize, Serialize},
    std::str::FromStr,
};

/// Importance of a kind of request, highest first. Lower classes are shed first.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Work that is refused last: crew bookings, invoices, crate confirmations and wage payments.
    #[display("critical")]
    Critical,
    /// Interactive work that somebody waits for.
    #[display("high")]
    High,
    /// Ordinary work; the default.
    #[display("normal")]
    Normal,
    /// Work that can be repeated later, such as prefetching.
    #[display("low")]
    Low,
}

impl Class {
    /// All classes, highest first.
    pub const ALL: [Self; 4] = [Self::Critical, Self::High, Self::Normal, Self::Low];

    /// Position in [`Class::ALL`]; 0 is the most important.
    #[must_use]
    pub const fn rank(self) -> usize {
        self as usize
    }

    /// Stable name, used in the catalogue, headers and metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Critical => "critical",
            Self::High => "high",
            Self::Normal => "normal",
            Self::Low => "low",
        }
    }
}

/// Error for a text that names no class.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("unknown class {text:?}; expected critical, high, normal or low")]
pub struct UnknownClass {
    /// The text as given.
    pub text: String,
}

impl FromStr for Class {
    type Err = UnknownClass;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|class| class.label() == text)
            .ok_or_else(|| UnknownClass {
                text: text.to_owned(),
            })
    }
}

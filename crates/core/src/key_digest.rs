//! Digests of the secret keys by which callers identify their workspace.

use {
    derive_more::{Display, Error},
    serde::{Deserialize, Serialize},
    sha2::{Digest, Sha256},
    std::str::FromStr,
};

/// Number of hexadecimal digits in the text form of a [`KeyDigest`].
const HEX_DIGITS: usize = 32;

/// The first 16 bytes of the SHA-256 digest of a key. The key cannot be derived from it, so that it may be stored,
/// replicated and logged.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(into = "String", try_from = "String")]
#[display("{_0:032x}")]
pub struct KeyDigest(u128);

/// Error for a text that is not the digest of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("not {HEX_DIGITS} hexadecimal digits")]
pub struct InvalidKeyDigest;

impl KeyDigest {
    /// Digest of a key.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        let digest = Sha256::digest(key);
        let mut first = [0; 16];
        first.copy_from_slice(&digest[..16]);
        Self(u128::from_be_bytes(first))
    }

    /// The digest as a number, for messages between nodes.
    #[must_use]
    pub const fn to_bits(self) -> u128 {
        self.0
    }

    /// The digest with this number.
    #[must_use]
    pub const fn from_bits(bits: u128) -> Self {
        Self(bits)
    }
}

impl FromStr for KeyDigest {
    type Err = InvalidKeyDigest;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_hex = text.len() == HEX_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !is_hex {
            return Err(InvalidKeyDigest);
        }
        u128::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| InvalidKeyDigest)
    }
}

impl TryFrom<String> for KeyDigest {
    type Error = InvalidKeyDigest;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<KeyDigest> for String {
    fn from(digest: KeyDigest) -> Self {
        digest.to_string()
    }
}

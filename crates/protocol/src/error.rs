//! Errors of encoding and decoding.

use derive_more::{Display, Error};

/// Why a message cannot be encoded or decoded.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Display, Error)]
pub enum ProtocolError {
    /// The bytes are not a message of the schema, or hold an enum value or union variant that this version lacks.
    #[display("malformed message: {detail}")]
    Malformed {
        /// Text of the Cap'n Proto error.
        detail: String,
    },
    /// A field or message exceeds its bound.
    #[display("{field} has size {size}, more than the bound of {bound}")]
    TooLarge {
        /// Name of the field or message, such as `entry.pathPrefix` or `datagram`.
        field: &'static str,
        /// Size found, in bytes for a text or message and in elements for a list.
        size: usize,
        /// Largest size accepted, in the same unit.
        bound: usize,
    },
    /// A text is not UTF-8, a name is empty or has control characters, an address is malformed, or a label is unknown.
    #[display("{field} holds an invalid value")]
    InvalidValue {
        /// Name of the field, such as `member.dataCentre`.
        field: &'static str,
    },
}

impl From<capnp::Error> for ProtocolError {
    fn from(error: capnp::Error) -> Self {
        Self::Malformed {
            detail: error.to_string(),
        }
    }
}

impl From<capnp::NotInSchema> for ProtocolError {
    fn from(error: capnp::NotInSchema) -> Self {
        Self::Malformed {
            detail: error.to_string(),
        }
    }
}

impl From<ProtocolError> for capnp::Error {
    fn from(error: ProtocolError) -> Self {
        Self::failed(error.to_string())
    }
}

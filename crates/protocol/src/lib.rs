//! Cap'n Proto messages that nodes exchange, and their conversion to and from plain types.
//!
//! The schema is `schema/node.capnp`. `node_capnp.rs` is generated from it with
//! `capnp compile -orust:src --src-prefix=schema schema/node.capnp` in the folder of this package.
//!
//! Decoding checks the size of every list and text and the form of names, addresses, labels and enum values, and
//! returns a [`ProtocolError`] for a message that fails a check. It does not check the ranges of numbers; those of
//! entries are left to the validation of the catalogue.

mod address;
mod bounds;
mod catalogue;
pub mod claims;
mod datagram;
mod error;
mod member;

#[rustfmt::skip]
#[allow(missing_docs, unused_qualifications, clippy::all, clippy::pedantic)]
pub mod node_capnp;

pub use {
    bounds::{MAX_DIGEST_BUCKETS, MAX_RECORDS_PER_LIST, MAX_RPC_WORDS},
    catalogue::{read_difference, write_difference},
    datagram::{decode_datagram, encode_datagram},
    error::ProtocolError,
    member::{Decoded, UnreadableMember, read_members, write_members},
};

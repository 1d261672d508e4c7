//! Calls between nodes by `capnp-rpc`, on a thread of their own because its types are not `Send`.

mod call;
mod connections;
mod observed_read;
mod peers;
mod server;
mod thread;

pub use {
    call::{ClaimsCall, ClaimsReply},
    connections::CallCounts,
    peers::Peers,
};
pub(super) use {
    server::Services,
    thread::{RpcThread, start},
};

//! The data path: carries requests from callers to targets and the responses back.

mod accepted_stream;
mod allowance;
mod at_most_once_entry;
mod at_most_once_gate;
mod attempt_end;
mod body;
mod buffered_body;
mod caller_watch;
mod catalogue_index;
mod claim_header;
mod context;
mod crash_watch;
mod data_path;
mod entry;
mod entry_exchange;
mod final_status;
mod fingerprint;
mod forward_headers;
mod gate;
mod gate_server;
mod hops;
mod identity;
mod lingering_close;
mod listener;
mod load_report;
mod peers;
mod problem;
mod routes;
mod service;
mod stalled;
mod target_admission;
mod target_pool;
mod target_report_header;

pub use {
    body::{OutgoingBody, ResponseBody},
    catalogue_index::CatalogueIndex,
    context::ExchangeContext,
    crash_watch::CrashWatch,
    data_path::{Agreed, DataPath},
    entry::EntryNode,
    gate::{Gate, GateRefusal},
    gate_server::serve_entry_node,
    hops::Hops,
    lingering_close::{LingerEnd, LingeringCloses},
    listener::{Listener, ListenerContext, ListenerKind, StopSignals},
    peers::Peers,
    routes::Routes,
    target_admission::TargetAdmission,
    target_pool::TargetPool,
};

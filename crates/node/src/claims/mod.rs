//! At-most-once work: the actor that holds claim records, and its calls to other nodes.

mod claim_calls;
mod claims_actor;
mod claims_handle;
mod kept_responses;
mod sender;
mod table_maintainer;
mod table_store;

pub use {
    claim_calls::{
        CallFailed, CallResult, ClaimAnswer, ClaimCalls, ClaimPeer, GateLookup, PeerCall,
        PeerLookup,
    },
    claims_actor::ClaimsActor,
    claims_handle::{ClaimDecision, Claims, ClaimsSettings},
    kept_responses::{KeptResponse, KeptResponses, MAX_KEPT_BYTES, RETENTION_PERIOD},
    table_store::{TableError, TableStore},
};

//! At-most-once calls and their conversion to and from the types of `jujubeline_coordination::claims`.

mod convert;
mod message;

pub use {
    convert::{
        read_adopt, read_adopt_reply, read_claim, read_claim_answer, read_claim_reply,
        read_completed, read_fence, read_fence_reply, read_hand_over, read_resolve,
        read_resolve_result, read_service, write_adopt, write_adopt_reply, write_claim,
        write_claim_answer, write_claim_reply, write_completed, write_fence, write_fence_reply,
        write_hand_over, write_resolve, write_resolve_result,
    },
    message::{ClaimAnswer, ClaimCall, ClaimRequest, HandOver},
};

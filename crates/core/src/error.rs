//! Context of an error: the step that failed and the peer.

use {
    derive_more::{Display, Error},
    std::net::SocketAddr,
};

/// The operation during which an error occurred.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum Step {
    /// Reading and checking settings.
    #[display("settings")]
    Settings,
    /// Opening a listening socket.
    #[display("listen")]
    Listen,
    /// Opening a connection.
    #[display("connect")]
    Connect,
    /// Reading a request.
    #[display("read request")]
    ReadRequest,
    /// Forwarding a request.
    #[display("forward")]
    Forward,
    /// Reading an answer.
    #[display("read answer")]
    ReadAnswer,
    /// Reading or checking the catalogue.
    #[display("catalogue")]
    Catalogue,
    /// Calling the platform.
    #[display("platform call")]
    PlatformCall,
    /// Exchanging membership messages.
    #[display("membership")]
    Membership,
    /// Claiming at-most-once work.
    #[display("claim")]
    Claim,
    /// Encoding or decoding a message.
    #[display("codec")]
    Codec,
    /// Shutting down.
    #[display("stop")]
    Stop,
}

/// The other party of the operation during which an error occurred.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Display)]
pub enum Peer {
    /// A caller.
    #[display("caller {_0}")]
    Caller(SocketAddr),
    /// A target, beside this node or elsewhere.
    #[display("target {_0}")]
    Target(SocketAddr),
    /// Another node.
    #[display("node {_0}")]
    Node(String),
    /// The platform's object API.
    #[display("platform {_0}")]
    Platform(String),
    /// The operators' tool, or a client of the operators' address.
    #[display("operator {_0}")]
    Operator(String),
    /// A setting, named by its flag and environment variable.
    #[display("setting {_0}")]
    Setting(String),
    /// This process: no other party takes part.
    #[display("this process")]
    Local,
}

/// Context that is attached to the errors of every package.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{step} with {peer}: {detail}")]
pub struct StepError {
    /// The step that failed.
    pub step: Step,
    /// The other party of the step.
    pub peer: Peer,
    /// What happened, in one sentence.
    pub detail: String,
}

impl StepError {
    /// Context for an error during a step with a peer.
    pub fn new(step: Step, peer: Peer, detail: impl Into<String>) -> Self {
        Self {
            step,
            peer,
            detail: detail.into(),
        }
    }
}

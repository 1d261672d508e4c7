//! A TCP and UDP relay that injects faults between a client and its upstream address.

mod fault_relay;
mod faults;
mod tcp;
mod udp;

pub use {fault_relay::FaultRelay, faults::Faults};

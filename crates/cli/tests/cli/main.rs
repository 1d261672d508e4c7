//! Tests of the tool as a process and of its functions, against the stand-in of the platform.

mod apply;
mod commands;
mod snapshot;
mod support;

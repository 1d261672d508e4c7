//! Failure tests with real processes; each test checks one guarantee.

mod at_most_once;
mod catalogue;
mod connections;
mod draining;
mod support;

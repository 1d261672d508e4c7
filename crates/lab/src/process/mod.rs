//! Starting, stopping and measuring child processes for measurements and failure tests.

mod child;
mod usage;

pub use {
    child::{Process, ProcessError, binary_path},
    usage::Usage,
};

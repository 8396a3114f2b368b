//! A simulation of the batch scheduler with workers and a store under random faults.

#![allow(dead_code, unreachable_pub, missing_docs)]

pub mod check;
pub mod worker;
pub mod world;

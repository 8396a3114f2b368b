//! A fleet of fake workers and a store, driven by the scheduler of jobs under random faults.

#![allow(dead_code, unreachable_pub, missing_docs)]

pub mod check;
pub mod worker;
pub mod world;

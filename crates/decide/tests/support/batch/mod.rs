//! A fleet of fake workers and a store, driven by the scheduler of jobs under random faults.

pub mod check;
pub mod worker;
pub mod world;

//! Requests of callers, from the HTTP call to the answer.

pub mod admission;
pub mod headers;
pub mod http;
pub mod intent;
pub mod problem;
pub mod submit;

//! What lives for a request of a caller.

pub mod admission;
pub mod headers;
pub mod http;
pub mod intent;
pub mod problem;
pub mod submit;

//! The clients of the platform.

use std::sync::Arc;

use azurepath_services::{instance, object, table, worker};

/// The clients of the platform, behind their traits.
#[derive(Clone)]
pub struct Platform {
    /// The table service.
    pub table: Arc<dyn table::Table>,
    /// The object store.
    pub objects: Arc<dyn object::Store>,
    /// The instance list.
    pub instances: Arc<dyn instance::List>,
    /// The workers.
    pub workers: Arc<dyn worker::Worker>,
}

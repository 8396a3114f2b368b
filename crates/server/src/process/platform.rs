//! The clients of the platform.

use std::sync::Arc;

use azurepath_services::{instance, object, table, worker};

/// The clients of the platform, as trait objects.
#[derive(Clone)]
pub struct Platform {
    /// The client of the table service.
    pub table: Arc<dyn table::Table>,
    /// The client of the object store.
    pub objects: Arc<dyn object::Store>,
    /// The client of the instance list.
    pub instances: Arc<dyn instance::List>,
    /// The client of the workers.
    pub workers: Arc<dyn worker::Worker>,
}

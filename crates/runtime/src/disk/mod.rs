//! Files of a controller in its data folder: the snapshots and the log of each partition, and the
//! voter file. A file is durable only once both the file and its folder are synced.

pub mod data_folder;
pub mod error;
pub mod partition_store;

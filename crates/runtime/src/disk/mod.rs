//! Files of a controller: replica snapshots and log of each partition, and the voter
//! file, under one data folder. A file lasts only once it is synced, and its folder too.

pub mod data_folder;
pub mod error;
pub mod partition_store;

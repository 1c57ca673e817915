//! Shared helpers of the simulated tests: they load the deployments' files and build scenarios.
#![allow(dead_code)]

use grebepath_simulator::files::{FileError, read_json};
use grebepath_simulator::scenario::{Scenario, read};
use serde_json::{Value, json};

/// Reads a file of the deployments from the repository.
pub fn load(name: &str) -> Result<Value, FileError> {
    read_json(&format!("{}/../../deploy/{name}", env!("CARGO_MANIFEST_DIR")))
}

/// Returns a scenario with these faults.
pub fn scenario(name: &str, seconds: u64, factor: f64, faults: Vec<Value>) -> Scenario {
    let val = json!({ "name": name, "seconds": seconds, "queriers": 7, "factor": factor,
                      "troubles": faults });
    match read(val.to_string().as_bytes(), &load) {
        Ok(s) => s,
        Err(all) => panic!("{}", grebepath_core::diagnostic::lines(&all)),
    }
}

/// Returns a scenario with `queriers` queriers and no faults.
pub fn cluster(name: &str, queriers: usize, factor: f64) -> Scenario {
    let val = json!({ "name": name, "seconds": 1, "queriers": queriers, "factor": factor,
                      "troubles": [] });
    match read(val.to_string().as_bytes(), &load) {
        Ok(s) => s,
        Err(all) => panic!("{}", grebepath_core::diagnostic::lines(&all)),
    }
}

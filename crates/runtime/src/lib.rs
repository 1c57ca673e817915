//! What the programs share of the outside world: params, threads, wires,
//! disks, doors for HTTP, the log ring. The deciding is done in `grebe`.

pub mod clock;
pub mod dialect;
pub mod disk;
pub mod handed;
pub mod http;
pub mod leafs;
pub mod params;
pub mod reload;
pub mod ring;
pub mod stop;
pub mod ways;
pub mod wire;

//! The ids of simulated connections to controllers. As in the daemons, a connection
//! ends with the process that opened it, so the id contains that process and its
//! incarnation.

/// Bit that is set in the ids of connections that controllers open.
const OPENED_BY_CONTROLLER: u64 = 1 << 63;
/// Bits of the id that hold the opener's incarnation.
const INCARNATION_BITS: u32 = 32;
const INCARNATION_MASK: u64 = (1 << INCARNATION_BITS) - 1;

/// The process that opened a connection to a controller.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Opener {
    /// Another controller, and its incarnation.
    Controller {
        /// Its number.
        number: usize,
        /// Its incarnation.
        incarnation: u64,
    },
    /// A querier, and its incarnation.
    Querier {
        /// Its number.
        number: usize,
        /// Its incarnation.
        incarnation: u64,
    },
}

impl Opener {
    /// Returns the opener of a connection.
    pub fn of(connection: u64) -> Opener {
        let number = ((connection & !OPENED_BY_CONTROLLER) >> INCARNATION_BITS) as usize;
        let incarnation = connection & INCARNATION_MASK;
        match connection & OPENED_BY_CONTROLLER {
            0 => Opener::Querier { number, incarnation },
            _ => Opener::Controller { number, incarnation },
        }
    }

    /// Returns the id of the opener's connection.
    pub fn connection(self) -> u64 {
        match self {
            Opener::Controller { number, incarnation } => {
                OPENED_BY_CONTROLLER | (number as u64) << INCARNATION_BITS | incarnation
            }
            Opener::Querier { number, incarnation } => {
                (number as u64) << INCARNATION_BITS | incarnation
            }
        }
    }
}

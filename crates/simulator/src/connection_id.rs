//! The ids of simulated connections to controllers. As in the daemons, a connection
//! ends with the process that opened it, so the id contains that process and its
//! incarnation.

/// Bit that is set in the ids of connections that controllers open.
const OPENED_BY_CONTROLLER: u64 = 1 << 63;
/// Bits of the id that hold the opener's incarnation.
const LIFE_BITS: u32 = 32;
const LIFE_MASK: u64 = (1 << LIFE_BITS) - 1;

/// The process that opened a connection to a controller.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Opener {
    /// Another controller, and its incarnation.
    Controller {
        /// Its number.
        number: usize,
        /// Its incarnation.
        life: u64,
    },
    /// A querier, and its incarnation.
    Querier {
        /// Its number.
        number: usize,
        /// Its incarnation.
        life: u64,
    },
}

impl Opener {
    /// Returns the opener of a connection.
    pub fn of(connection: u64) -> Opener {
        let number = ((connection & !OPENED_BY_CONTROLLER) >> LIFE_BITS) as usize;
        let life = connection & LIFE_MASK;
        match connection & OPENED_BY_CONTROLLER {
            0 => Opener::Querier { number, life },
            _ => Opener::Controller { number, life },
        }
    }

    /// Returns the id of the opener's connection.
    pub fn connection(self) -> u64 {
        match self {
            Opener::Controller { number, life } => {
                OPENED_BY_CONTROLLER | (number as u64) << LIFE_BITS | life
            }
            Opener::Querier { number, life } => (number as u64) << LIFE_BITS | life,
        }
    }
}

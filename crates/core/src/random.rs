//! A small seeded random number generator.
//!
//! Each state machine owns a generator, so that a run can be replayed exactly from its seed.
//! Simulated runs and stored digests depend on the sequence: the numbers of a seed and their order
//! must never change.

/// Increment of the generator's state: 2^64 divided by the golden ratio. It is odd, so that every
/// state is visited before one repeats.
const STATE_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// A random number generator (SplitMix64) that returns the same numbers for the same seed on
/// every machine.
pub struct Random {
    state: u64,
}

impl Random {
    /// Creates a generator from `seed`.
    pub fn new(seed: u64) -> Self {
        Random { state: mix(seed) | 1 }
    }

    /// Returns the next number.
    pub fn next_u64(&mut self) -> u64 {
        self.state = self.state.wrapping_add(STATE_STEP);
        mix(self.state)
    }

    /// Returns a number below `bound`; zero, without drawing a number, if `bound` is zero.
    pub fn below(&mut self, bound: u64) -> u64 {
        if bound == 0 { 0 } else { self.next_u64() % bound }
    }

    /// Returns true with a probability of `numerator` in `denominator`.
    pub fn chance(&mut self, numerator: u64, denominator: u64) -> bool {
        self.below(denominator) < numerator
    }
}

/// Mixes the bits of a number; the result is the same on every machine.
pub fn mix(number: u64) -> u64 {
    let mut mixed = number.wrapping_add(STATE_STEP);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

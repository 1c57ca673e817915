//! A small seeded random number generator.
//!
//! Each state machine owns one, so that a run is replayed exactly by its seed.
//! Simulated runs and stored digests depend on the stream: for one seed the
//! numbers and their order never change.

/// Step between the generator's states: 2^64 divided by the golden ratio, an
/// odd number, so that all states are passed before one comes again.
const STATE_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// A random number generator (SplitMix64) that yields the same numbers for the
/// same seed on every machine.
pub struct Random {
    state: u64,
}

impl Random {
    /// A generator for `seed`.
    pub fn new(seed: u64) -> Self {
        Random { state: mix(seed) | 1 }
    }

    /// The next number.
    pub fn next_u64(&mut self) -> u64 {
        self.state = self.state.wrapping_add(STATE_STEP);
        mix(self.state)
    }

    /// A number below `top`; zero, without a draw, when `top` is zero.
    pub fn below(&mut self, top: u64) -> u64 {
        if top == 0 { 0 } else { self.next_u64() % top }
    }

    /// True in `numerator` of `denominator` draws.
    pub fn chance(&mut self, numerator: u64, denominator: u64) -> bool {
        self.below(denominator) < numerator
    }
}

/// Scrambles one number; equal inputs give equal outputs on every machine.
pub fn mix(number: u64) -> u64 {
    let mut mixed = number.wrapping_add(STATE_STEP);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

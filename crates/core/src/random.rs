//! A small seeded generator. Owners carry one, so a run is replayed by its seed.

/// State of the generator (xorshift-multiply, 64 bits). Never zero.
pub struct Random {
    seed: u64,
}

/// A generator that yields the same numbers for the same seed.
pub fn luck(seed: u64) -> Random {
    Random { seed: mix(seed) | 1 }
}

/// Scrambles one number; equal inputs give equal outputs on every machine.
pub fn mix(n: u64) -> u64 {
    let mut x = n.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// The next number.
pub fn draw(luck: &mut Random) -> u64 {
    luck.seed = luck.seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mix(luck.seed)
}

/// A number below `top`; zero when `top` is zero.
pub fn below(luck: &mut Random, top: u64) -> u64 {
    if top == 0 { 0 } else { draw(luck) % top }
}

/// True in `num` of `den` draws.
pub fn chance(luck: &mut Random, num: u64, den: u64) -> bool {
    below(luck, den) < num
}

//! A small seeded generator, so that decisions with a random part can be repeated in a test.

/// A generator of pseudo-random numbers (SplitMix64).
#[derive(Debug, Clone)]
pub struct RandomSource {
    state: u64,
}

impl RandomSource {
    /// Creates a generator. Equal seeds give equal numbers.
    pub const fn new(seed: u64) -> RandomSource {
        RandomSource { state: seed }
    }

    /// The next number.
    pub fn next_number(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut number = self.state;
        number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        number ^ (number >> 31)
    }

    /// A number from 0 up to, but without, 1.
    pub fn next_share(&mut self) -> f64 {
        (self.next_number() >> 11) as f64 / (1u64 << 53) as f64
    }
}

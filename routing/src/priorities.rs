//! Calls counted by their urgency.

/// Ranks that are counted apart. Operators use three or four; less urgent ones count with the last.
const RANKS: usize = 4;

/// Numbers of calls by rank. Rank 0 is the most urgent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PriorityCounts([u32; RANKS]);

impl PriorityCounts {
    /// Counts without a call.
    pub const fn new() -> PriorityCounts {
        PriorityCounts([0; RANKS])
    }

    /// Takes over counts that another node has sent.
    pub const fn from_array(counts: [u32; RANKS]) -> PriorityCounts {
        PriorityCounts(counts)
    }

    /// The counts, the most urgent rank first.
    pub const fn to_array(self) -> [u32; RANKS] {
        self.0
    }

    /// Adds `calls` calls of `rank`.
    pub fn add(&mut self, rank: u8, calls: u32) {
        self.0[index(rank)] += calls;
    }

    /// Calls of all ranks.
    pub fn total(self) -> u32 {
        self.0.iter().sum()
    }

    /// Calls that are as urgent as `rank` or more.
    pub fn at_least(self, rank: u8) -> u32 {
        self.0[..=index(rank)].iter().sum()
    }
}

fn index(rank: u8) -> usize {
    usize::from(rank).min(RANKS - 1)
}

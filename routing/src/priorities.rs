//! Calls counted by their urgency.

/// Ranks that are counted apart. Operators use three or four; less urgent ones count with the last.
const LEVELS: usize = 4;

/// Numbers of calls by rank. Rank 0 is the most urgent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PriorityCounts([u32; LEVELS]);

impl PriorityCounts {
    /// Counts without a call.
    pub const fn new() -> PriorityCounts {
        PriorityCounts([0; LEVELS])
    }

    /// Takes over counts that another node has sent.
    pub const fn from_array(counts: [u32; LEVELS]) -> PriorityCounts {
        PriorityCounts(counts)
    }

    /// The counts, the most urgent rank first.
    pub const fn to_array(self) -> [u32; LEVELS] {
        self.0
    }

    /// Adds `calls` calls of `rank`.
    pub fn add(&mut self, priority: u8, calls: u32) {
        self.0[index(priority)] += calls;
    }

    /// Calls of all ranks.
    pub fn total(self) -> u32 {
        self.0.iter().sum()
    }

    /// Calls that are as urgent as `rank` or more.
    pub fn at_least(self, priority: u8) -> u32 {
        self.0[..=index(priority)].iter().sum()
    }
}

fn index(priority: u8) -> usize {
    usize::from(priority).min(LEVELS - 1)
}

//! Counts calls by priority.

/// Number of priorities that are counted separately. Operators use three or four; lower ones are
/// counted with the last.
const LEVELS: usize = 4;

/// Number of calls of each priority. Priority 0 is the most urgent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PriorityCounts([u32; LEVELS]);

impl PriorityCounts {
    /// Creates counts of zero.
    pub const fn new() -> PriorityCounts {
        PriorityCounts([0; LEVELS])
    }

    /// Creates the counts that another node has sent.
    pub const fn from_array(counts: [u32; LEVELS]) -> PriorityCounts {
        PriorityCounts(counts)
    }

    /// Returns the counts, the most urgent priority first.
    pub const fn to_array(self) -> [u32; LEVELS] {
        self.0
    }

    /// Adds `calls` calls of `priority`.
    pub fn add(&mut self, priority: u8, calls: u32) {
        self.0[index(priority)] += calls;
    }

    /// Returns the number of calls of all priorities.
    pub fn total(self) -> u32 {
        self.0.iter().sum()
    }

    /// Returns the number of calls that are at least as urgent as `priority`.
    pub fn at_least(self, priority: u8) -> u32 {
        self.0[..=index(priority)].iter().sum()
    }
}

fn index(priority: u8) -> usize {
    usize::from(priority).min(LEVELS - 1)
}

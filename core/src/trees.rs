//! Placement of members in the dissemination trees.

/// A k-ary heap over the members of a data centre in hash order, rotated so that each member is an
/// interior node in about one of the k trees.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct TreeShape {
    count: usize,
    arity: usize,
    offset: usize,
}

impl TreeShape {
    /// The tree for version `number` among `count` members.
    pub(crate) fn new(count: usize, arity: usize, number: u64) -> TreeShape {
        let tree = (number % arity as u64) as usize;
        TreeShape { count, arity, offset: tree * count / arity }
    }

    /// Index of the root in hash order.
    pub(crate) fn root(&self) -> usize {
        self.index(0)
    }

    /// Indexes of the children of the member at `index`.
    pub(crate) fn children(&self, index: usize) -> impl Iterator<Item = usize> {
        let shape = *self;
        let first = self.position(index) * self.arity + 1;
        (first..first + self.arity)
            .take_while(move |&position| position < shape.count)
            .map(move |position| shape.index(position))
    }

    /// Index of the parent of the member at `index`, unless that is the root.
    pub(crate) fn parent(&self, index: usize) -> Option<usize> {
        let position = self.position(index);
        (position > 0).then(|| self.index((position - 1) / self.arity))
    }

    fn position(&self, index: usize) -> usize {
        (index + self.count - self.offset) % self.count
    }

    fn index(&self, position: usize) -> usize {
        (position + self.offset) % self.count
    }
}

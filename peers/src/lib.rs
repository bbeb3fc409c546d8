//! Links between nodes.

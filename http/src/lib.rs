//! Guards around `async-h1` for exact message framing.

//! Placeholder until the first module lands.
fn main() {}

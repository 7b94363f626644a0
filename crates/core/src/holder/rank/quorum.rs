/// Largest number of witnesses of a server. The cost of a lease grows with it; 7 is the smallest
/// number from which two replaced witnesses and two unreachable ones are tolerated at once.
pub const MAX_WITNESSES: usize = 7;

/// Number of promises, out of `witnesses`, that confirm a claim.
///
/// From five witnesses on, the quorums of two sets intersect if each set has at most two witnesses
/// that the other lacks. With four this holds for one such witness, with three or fewer only for
/// equal sets. Larger quorums for small sets would make a single unreachable entry block a server.
pub const fn quorum(witnesses: usize) -> usize {
    match witnesses {
        0..=3 => witnesses / 2 + 1,
        4 => 3,
        _ => (witnesses + 2) / 2 + 1,
    }
}

//! The number of witnesses of a server and the size of their quorum.

/// Largest number of witnesses of a server. The cost of a lease grows with it; 7 is the smallest
/// number that tolerates two replaced and two unreachable witnesses at once.
pub const MAX_WITNESSES: usize = 7;

/// Number of promises, out of `witnesses`, that confirm a claim.
///
/// For five or more witnesses, the quorums of two witness sets intersect if each set has at most
/// two witnesses that the other lacks. For four witnesses this holds with one such witness, for
/// three or fewer only with equal sets. Larger quorums of small sets would let a single unreachable
/// entry block a server.
pub const fn quorum(witnesses: usize) -> usize {
    match witnesses {
        0..=3 => witnesses / 2 + 1,
        4 => 3,
        _ => (witnesses + 2) / 2 + 1,
    }
}

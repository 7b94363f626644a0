//! When a refused caller may send its request again.
//!
//! Load pattern: callers that come back while the overload that they were refused for lasts are
//! refused again, and those that come back together make the next peak. Callers that were refused
//! for another reason, such as servers that decline requests although they have room, lose the rest
//! of their latency target if they are kept away.

use std::time::Duration;

use crate::outcome::Refusal;
use crate::port::Random;

/// Shortest pause after a refusal that shows no overload: servers with room refused the request, or
/// this entry is leaving and others serve.
const MIN_PAUSE: Duration = Duration::from_millis(15);

/// Shortest pause after any other refusal, in which an overload may pass.
const MIN_OVERLOAD_PAUSE: Duration = Duration::from_millis(120);

/// Longest pause before the random part, unless all entries would refuse the request. Another entry may
/// have a server sooner than this one.
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// The pause before the caller sends a request again that was refused for this reason, spread at
/// random between its shortest value and twice that. If it is known that the request would be refused
/// for the time `unavailable_for`, the pause is not shorter.
pub(super) fn pause(
    refusal: Refusal,
    unavailable_for: Option<Duration>,
    random: &impl Random,
) -> Duration {
    let overloaded = !matches!(refusal, Refusal::Attempts | Refusal::Leaving);
    let least = if overloaded { MIN_OVERLOAD_PAUSE } else { MIN_PAUSE };
    let longest = if refusal == Refusal::Suspect { Duration::MAX } else { MAX_PAUSE };
    let shortest = unavailable_for.unwrap_or_default().min(longest).max(least);
    let spread = u64::try_from(shortest.as_micros()).unwrap_or(u64::MAX);
    shortest + Duration::from_micros(random.below(spread))
}

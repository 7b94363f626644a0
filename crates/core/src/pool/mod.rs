//! The servers of one service that this entry holds, and the requests that wait for them.

mod report;

pub use self::report::Report;

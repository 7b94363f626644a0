//! Errors of an exchange.

use quick_error::quick_error;

quick_error! {
    /// Why an exchange has no complete answer, and whether the request may have been sent.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// No byte of the request was sent.
        NotSent(why: String) {
            display("request not sent: {}", why)
        }
        /// The connection broke, or the head of the answer was invalid, after the request may have
        /// been sent.
        Broken(why: String) {
            display("connection broke: {}", why)
        }
        /// The body of the answer was cut off, or the buffer budget is used up.
        Answer(why: String) {
            display("incomplete answer: {}", why)
        }
        /// The body of the answer is larger than the limit in bytes.
        Large(limit: usize) {
            display("the answer has more than {} bytes", limit)
        }
        /// No complete answer arrived in time.
        Timeout {
            display("no complete answer in time")
        }
    }
}

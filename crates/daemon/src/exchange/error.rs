use quick_error::quick_error;

quick_error! {
    /// Why an exchange has no whole answer.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// No byte of the request has left.
        NotSent(why: String) {
            display("request not sent: {}", why)
        }
        /// The connection broke after the request may have left.
        Broken(why: String) {
            display("connection broke: {}", why)
        }
        /// The answer was cut.
        Answer(why: String) {
            display("answer is not whole: {}", why)
        }
        /// The answer is larger than the limit.
        Large(limit: usize) {
            display("the answer has more than {} bytes", limit)
        }
        /// No whole answer came in time.
        Timeout {
            display("no whole answer in time")
        }
    }
}

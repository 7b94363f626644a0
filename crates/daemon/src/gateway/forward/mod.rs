//! Requests that entries pass on to each other, over HTTP.
//!
//! A request is sent as its caller sent it, with fields that say what the sender has decided. The
//! answer is the server's, or one without a body, with fields that say how the request ended. The
//! fields are those of [`fields`]; they go no further than to the other entry. An answer without them
//! proves nothing. The listener takes such requests only, from entries that are known to be live.

mod client;
mod fields;
mod service;

pub use self::client::ForwardClient;
pub(super) use self::service::ForwardService;

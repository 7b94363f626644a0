use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;

quick_error! {
    /// Why a message could not be written or read.
    #[derive(Debug)]
    pub enum Error {
        /// The message could not be encoded.
        Encode(err: rmp_serde::encode::Error) {
            from()
            source(err)
            display("message cannot be encoded: {}", err)
        }
        /// The bytes are not a message of the expected kind.
        Decode(err: rmp_serde::decode::Error) {
            from()
            source(err)
            display("message cannot be decoded: {}", err)
        }
        /// Bytes follow the message.
        Trailing(len: usize) {
            display("{} bytes follow the message", len)
        }
    }
}

/// Encodes a message.
///
/// # Errors
///
/// [`Error::Encode`] if a value has no MessagePack form, such as a list of unknown length.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, Error> {
    Ok(rmp_serde::to_vec_named(message)?)
}

/// Decodes a message that takes up all of `bytes`.
///
/// # Errors
///
/// [`Error::Decode`] if the bytes are no such message, [`Error::Trailing`] if bytes follow it.
pub fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, Error> {
    let mut deserializer = rmp_serde::Deserializer::from_read_ref(bytes);
    let message = T::deserialize(&mut deserializer)?;
    match deserializer.get_ref().len() {
        0 => Ok(message),
        left => Err(Error::Trailing(left)),
    }
}

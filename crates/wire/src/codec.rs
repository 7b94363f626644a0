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
        Trailing {
            display("bytes follow the message")
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

/// Encodes a message without field names, for datagrams. A reader needs the same fields in the same
/// order, or fewer of the last ones if these have defaults.
///
/// # Errors
///
/// As for [`encode`].
pub fn encode_short<T: Serialize>(message: &T) -> Result<Vec<u8>, Error> {
    Ok(rmp_serde::to_vec(message)?)
}

/// Decodes a message that takes up all of `bytes`.
///
/// # Errors
///
/// [`Error::Decode`] if the bytes are no such message, [`Error::Trailing`] if bytes follow it.
pub fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, Error> {
    let mut deserializer = rmp_serde::Deserializer::from_read_ref(bytes);
    let message = T::deserialize(&mut deserializer)?;
    // The deserializer does not tell how much it has read. Another value can be read only if bytes
    // are left, and reading a unit looks at no more than the first of them.
    match <()>::deserialize(&mut deserializer) {
        Err(rmp_serde::decode::Error::InvalidMarkerRead(_)) => Ok(message),
        _ => Err(Error::Trailing),
    }
}

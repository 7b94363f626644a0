//! Checked names of services, VMs, failure domains and regions.
//!
//! A name is 1 to 63 ASCII letters, digits, `-`, `_` or `.`, and starts with a letter or digit.
//! Names are shared (`Arc<str>`), so a clone does not allocate.

use std::fmt;
use std::sync::Arc;

use quick_error::quick_error;

/// Largest length of a name in bytes, the limit of a DNS label.
pub const MAX_LEN: usize = 63;

quick_error! {
    /// Why a text is not a name.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The text is empty.
        Empty {
            display("a name must not be empty")
        }
        /// The text is longer than [`MAX_LEN`] bytes.
        Length(len: usize) {
            display("a name has at most {} bytes, this one has {}", MAX_LEN, len)
        }
        /// The text has a character that is not allowed at its position.
        Character(found: char, index: usize) {
            display("character {:?} at byte {} is not allowed in a name", found, index)
        }
    }
}

fn check(text: &str) -> Result<(), Error> {
    if text.is_empty() {
        return Err(Error::Empty);
    }
    if text.len() > MAX_LEN {
        return Err(Error::Length(text.len()));
    }
    for (index, found) in text.char_indices() {
        let allowed = found.is_ascii_alphanumeric() || (index > 0 && "-_.".contains(found));
        if !allowed {
            return Err(Error::Character(found, index));
        }
    }
    Ok(())
}

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<&str> for $name {
            type Error = Error;

            fn try_from(text: &str) -> Result<Self, Error> {
                check(text)?;
                Ok(Self(Arc::from(text)))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&self.0, f)
            }
        }

        impl std::borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }
    };
}

name! {
    /// Name of a service: a set of servers that answer the same requests.
    Service
}
name! {
    /// Name of a VM, whether it runs an entry or a server.
    Vm
}
name! {
    /// Name of a failure domain.
    Domain
}
name! {
    /// Name of a region.
    Region
}

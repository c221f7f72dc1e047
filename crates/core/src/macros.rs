//! Macros that declare value types with their derives and conversions.

/// Declares a newtype with the derives that all value types have in common.
macro_rules! value_type {
    ($(#[$meta:meta])* $vis:vis struct $name:ident($inner:ty);) => {
        $(#[$meta])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        $vis struct $name($inner);
    };
}

/// Implements `Serialize` through `Display` and `Deserialize` through `FromStr`.
macro_rules! serde_as_text {
    ($name:ident) => {
        impl serde::Serialize for $name {
            fn serialize<S: serde::Serializer>(
                &self,
                out: S,
            ) -> std::result::Result<S::Ok, S::Error> {
                out.collect_str(self)
            }
        }

        impl<'de> serde::Deserialize<'de> for $name {
            fn deserialize<D: serde::Deserializer<'de>>(
                input: D,
            ) -> std::result::Result<Self, D::Error> {
                let text = <compact_str::CompactString as serde::Deserialize>::deserialize(input)?;
                text.parse().map_err(serde::de::Error::custom)
            }
        }
    };
}

/// Declares a text identifier with a maximum length in bytes.
macro_rules! text_id {
    ($(#[$meta:meta])* $name:ident, $max_len:expr) => {
        $crate::macros::value_type! {
            $(#[$meta])*
            pub struct $name(compact_str::CompactString);
        }

        impl $name {
            /// Maximum length of the text, in bytes.
            pub const MAX_LEN: usize = $max_len;

            /// The identifier as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                self.0.as_str()
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl std::str::FromStr for $name {
            type Err = $crate::parse::ParseError;

            fn from_str(text: &str) -> $crate::parse::Result<Self> {
                const ALLOWED: &str = concat!(
                    "1 to ", stringify!($max_len), " letters, digits or any of . _ - : /"
                );
                if !$crate::ids::is_id_text(text, Self::MAX_LEN) {
                    return Err($crate::parse::ParseError::new(stringify!($name), ALLOWED, text));
                }
                Ok(Self(text.into()))
            }
        }

        $crate::macros::serde_as_text!($name);
    };
}

/// Declares an unsigned number type that is displayed, parsed and serialised as a plain number.
macro_rules! number_type {
    ($(#[$meta:meta])* $name:ident, $inner:ty) => {
        $crate::macros::value_type! {
            $(#[$meta])*
            #[derive(Copy, Default, serde::Serialize, serde::Deserialize)]
            #[serde(transparent)]
            pub struct $name($inner);
        }

        impl $name {
            /// Creates the value from a plain number.
            #[must_use]
            pub const fn new(value: $inner) -> Self {
                Self(value)
            }

            /// The plain number.
            #[must_use]
            pub const fn get(self) -> $inner {
                self.0
            }

            /// The value plus 1; saturates at the maximum.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0.saturating_add(1))
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                self.0.fmt(f)
            }
        }

        impl std::str::FromStr for $name {
            type Err = $crate::parse::ParseError;

            fn from_str(text: &str) -> $crate::parse::Result<Self> {
                const ALLOWED: &str = concat!("a whole number that fits ", stringify!($inner));
                let parsed = text.parse().ok();
                parsed
                    .map(Self)
                    .ok_or_else(|| $crate::parse::ParseError::new(stringify!($name), ALLOWED, text))
            }
        }
    };
}

pub(crate) use {number_type, serde_as_text, text_id, value_type};

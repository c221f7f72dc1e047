//! Macro that declares the settings types.

/// Declares a settings type with defaults, `new` and a `with_...` method for each field.
///
/// In JSON all fields are optional and unknown fields are rejected.
macro_rules! settings_type {
    (
        $(#[$meta:meta])*
        $name:ident {
            $(
                $(#[$field_meta:meta])*
                $field:ident, $with:ident: $kind:ty = $default:expr;
            )*
        }
    ) => {
        $(#[$meta])*
        #[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
        #[serde(default, deny_unknown_fields)]
        pub struct $name {
            $(
                $(#[$field_meta])*
                pub $field: $kind,
            )*
        }

        impl Default for $name {
            fn default() -> Self {
                Self {
                    $($field: $default,)*
                }
            }
        }

        impl $name {
            /// Creates settings with all defaults.
            #[must_use]
            pub fn new() -> Self {
                Self::default()
            }

            $(
                #[doc = concat!("Sets `", stringify!($field), "`.")]
                #[must_use]
                pub fn $with(mut self, $field: $kind) -> Self {
                    self.$field = $field;
                    self
                }
            )*
        }
    };
}

pub(crate) use settings_type;

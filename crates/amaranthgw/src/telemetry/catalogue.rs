//! The `node_events!` macro, which declares the numbered events.

/// Declares [`NodeEvent`] and its catalogue from the number, level, name, message and fields of
/// each event.
macro_rules! node_events {
    ($(
        $(#[$meta:meta])*
        $number:literal $level:ident $name:ident $message:literal {
            $($(#[$field_meta:meta])* $field:ident: $type:ty),* $(,)?
        }
    )*) => {
        /// A numbered log event with the inputs of the decision it records.
        #[derive(Clone, Debug, PartialEq, serde::Serialize)]
        #[serde(untagged)]
        pub enum NodeEvent {
            $(
                $(#[$meta])*
                $name { $($(#[$field_meta])* $field: $type),* },
            )*
        }

        impl NodeEvent {
            /// Number, level, name, message and field names of every event, in order of declaration.
            pub const CATALOGUE: &'static [(u16, EventLevel, &'static str, &'static str, &'static [&'static str])] = &[
                $(($number, EventLevel::$level, stringify!($name), $message, &[$(stringify!($field)),*]),)*
            ];

            /// Number of the event in the catalogue.
            #[must_use]
            pub const fn number(&self) -> u16 {
                match self { $(Self::$name { .. } => $number,)* }
            }

            /// Level the event is logged at.
            #[must_use]
            pub const fn level(&self) -> EventLevel {
                match self { $(Self::$name { .. } => EventLevel::$level,)* }
            }

            /// Fixed message of the event.
            #[must_use]
            pub const fn message(&self) -> &'static str {
                match self { $(Self::$name { .. } => $message,)* }
            }
        }
    };
}

pub(super) use node_events;

//! Macros that give domain types their common derives.

/// Adds the derives that every domain type carries: `Debug`, `Clone`, `PartialEq` and serde.
///
/// Further attributes on the type, such as `#[serde(...)]` on the container, are kept.
///
/// ```
/// mulberry_protocol::value_type! {
///     /// A pair of counters.
///     #[serde(rename_all = "kebab-case")]
///     pub struct Pair {
///         /// The left counter.
///         pub left: u32,
///     }
/// }
/// assert_eq!(Pair { left: 1 }, Pair { left: 1 }.clone());
/// ```
#[macro_export]
macro_rules! value_type {
    ($(#[$meta:meta])* pub struct $($rest:tt)*) => {
        #[derive(Debug, Clone, PartialEq, ::serde::Serialize, ::serde::Deserialize)]
        $(#[$meta])*
        pub struct $($rest)*
    };
    ($(#[$meta:meta])* pub enum $($rest:tt)*) => {
        #[derive(Debug, Clone, PartialEq, ::serde::Serialize, ::serde::Deserialize)]
        $(#[$meta])*
        pub enum $($rest)*
    };
}

/// Adds the derives of an enum whose variants hold no data: it can be copied, ordered and hashed,
/// and serde writes its variants in kebab case.
#[macro_export]
macro_rules! closed_set {
    ($(#[$meta:meta])* pub enum $($rest:tt)*) => {
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash,
            ::serde::Serialize, ::serde::Deserialize,
        )]
        $(#[$meta])*
        #[serde(rename_all = "kebab-case")]
        pub enum $($rest)*
    };
}

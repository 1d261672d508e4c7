//! Macro for table-driven tests.

/// Defines a check function and one test for each named case, which calls the function with the arguments of the case.
/// The tests of an `async` function run on Tokio, which the package must have as a dependency.
///
/// ```
/// jujubeline_core::cases! {
///     fn doubles(input: u32, expected: u32) {
///         assert_eq!(input * 2, expected);
///     }
///     zero: (0, 0),
///     one: (1, 2),
/// }
/// ```
#[macro_export]
macro_rules! cases {
    (
        $(#[$meta:meta])*
        fn $check:ident($($arg:ident: $kind:ty),* $(,)?) $body:block
        $($name:ident: ($($value:expr),* $(,)?)),+ $(,)?
    ) => {
        $(#[$meta])*
        #[allow(dead_code)]
        fn $check($($arg: $kind),*) $body

        $(
            #[test]
            fn $name() {
                $check($($value),*);
            }
        )+
    };
    (
        $(#[$meta:meta])*
        async fn $check:ident($($arg:ident: $kind:ty),* $(,)?) $body:block
        $($name:ident: ($($value:expr),* $(,)?)),+ $(,)?
    ) => {
        $(#[$meta])*
        #[allow(dead_code)]
        async fn $check($($arg: $kind),*) $body

        $(
            #[tokio::test]
            async fn $name() {
                $check($($value),*).await;
            }
        )+
    };
}

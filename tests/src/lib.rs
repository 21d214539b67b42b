//! Helpers of the integration tests.

pub mod balancer;
pub mod metrics;
pub mod publish;
pub mod raw_engine;

pub use fakes::poll;

use fakes::set::{Set, Settings};
use std::future::Future;

/// Starts a set of real processes and runs `test` on it.
///
/// # Panics
///
/// When the set does not start or the test fails.
pub fn with_set<F, T>(settings: Settings, test: T)
where
    F: Future<Output = eyre::Result<()>>,
    T: FnOnce(Set) -> F,
{
    let result = async_std::task::block_on(async {
        let set = Set::start(settings).await?;
        test(set).await
    });
    if let Err(error) = result {
        panic!("{error:?}");
    }
}

/// Declares tests, one per line: name, settings of the set, and the function that runs the test on it.
#[macro_export]
macro_rules! cases {
    ($($name:ident($settings:expr) = $test:expr;)*) => {
        $(#[test]
        fn $name() {
            $crate::with_set($settings, $test);
        })*
    };
}

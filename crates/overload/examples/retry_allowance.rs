//! Division of an allowance of three retries along a call chain, with a returned and with a lost response.
//!
//! Run with `cargo run -p jujubeline-overload --example retry_allowance`.

use jujubeline_overload::RetryAllowance;

fn main() {
    let mut root = RetryAllowance::new(3);
    let first = root.grant();
    println!(
        "the first hop gets {} of 3, the root keeps {}",
        first.count(),
        root.left()
    );

    let mut hop = RetryAllowance::new(first.count());
    let spent = hop.spend();
    println!("the first hop retries: {spent}, and returns {}", hop.left());
    root.settle(first, Some(hop.left()));
    println!("the root has {} left", root.left());

    // The response of the second call is lost, so its whole grant counts as spent.
    let second = root.grant();
    root.settle(second, None);
    println!("after a lost response the root has {} left", root.left());
}

//! Rate limit of the decision log.

use {
    jujubeline_node::decisions::LineBudget,
    std::time::{Duration, Instant},
};

/// Guards against a log that grows with the load, and against dropped lines that are not counted.
#[test]
fn lines_beyond_the_bound_are_dropped_and_counted() {
    let start = Instant::now();
    let mut budget = LineBudget::new(3, start);
    let granted = (0..10).filter(|_| budget.take(start)).count();
    assert_eq!((granted, budget.take_dropped()), (3, 7));
    assert_eq!(budget.take_dropped(), 0);
    let next = start + Duration::from_secs(1);
    assert!(budget.take(next));
    budget.record_unwritten();
    assert_eq!(budget.take_dropped(), 1);
}

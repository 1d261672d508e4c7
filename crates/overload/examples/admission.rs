//! Admission of a burst of 60 requests of two classes to a target with four slots.
//!
//! Run with `cargo run -p jujubeline-overload --example admission`.

use {
    jujubeline_core::Class,
    jujubeline_overload::{AdmissionRequest, Admitted, ExchangeEnd, GateAdmission},
    std::time::{Duration, Instant},
};

fn main() {
    let now = Instant::now();
    let mut gate = GateAdmission::new(16, now);
    gate.hint_slots(Some(4));
    let mut permits = Vec::new();
    let mut waiting = 0;
    let mut refused = Vec::new();
    for number in 0..60_u64 {
        let class = if number % 3 == 0 {
            Class::Critical
        } else {
            Class::Low
        };
        let request = AdmissionRequest {
            workspace: None,
            is_call: false,
            has_alternative: false,
            class,
            root: u128::from(number),
            entry: "records-read".into(),
            entry_concurrency: 64,
            deadline: now + Duration::from_secs(1),
        };
        match gate.offer(&request, now) {
            Ok(Admitted::Run(permit)) => permits.push(permit),
            Ok(Admitted::Wait(_)) => waiting += 1,
            Err(reason) => refused.push((class, reason)),
        }
    }
    println!(
        "{} run, {waiting} wait, {} are refused",
        permits.len(),
        refused.len()
    );

    // One request ends after 20 ms, and the gate decides which queued request runs next.
    let later = now + Duration::from_millis(20);
    if let Some(permit) = permits.pop() {
        gate.end(permit, ExchangeEnd::Completed, later);
    }
    for decision in gate.decide(later) {
        println!("decision: {decision:?}");
    }
}

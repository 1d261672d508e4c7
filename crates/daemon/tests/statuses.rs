//! Statuses that are no answer, from a target through its gate and another node to the caller.

mod support;

use {
    jujubeline_core::cases,
    support::{exchange, target_fleet::Fleet},
};

cases! {
    /// Guards against a status that HTTP does not know and that a caller gets as an answer, on each hop: over HTTP/1.1
    /// from the target, over HTTP/2 between nodes, and after an interim answer.
    fn status_that_is_none_is_no_answer(interim: &str, status: &str, expected: &str) {
        let fleet = Fleet::ready();
        let answer = format!(
            "{interim}HTTP/1.1 {status} Odd\r\nx-jujubeline-attempt-id: s1\r\n\
             x-jujubeline-response-seal: s\r\ncontent-length: 2\r\n\r\nok"
        );
        fleet.target.send_endless(&answer, " ");
        for callers in [fleet.edge.callers, fleet.gate.callers] {
            let response = exchange(
                callers,
                "GET /safe/endless/view HTTP/1.1\r\nhost: a.example\r\nx-jujubeline-attempt-id: s1\r\n\
                 x-jujubeline-deadline-ms: 3000\r\nconnection: close\r\n\r\n",
            );
            assert!(response.starts_with(&format!("HTTP/1.1 {expected}")), "{status}: {response}");
            let is_sealed = response.contains("x-jujubeline-response-seal");
            assert_eq!(is_sealed, expected != "502", "{status}: {response}");
        }
    }
    zero: ("", "000", "502"),
    below_the_first: ("", "099", "502"),
    two_digits: ("", "20", "502"),
    six_hundred: ("", "600", "502"),
    nine_hundred: ("", "999", "502"),
    upgrade: ("", "101", "502"),
    after_an_interim_answer: ("HTTP/1.1 103 Early Hints\r\n\r\n", "000", "502"),
    beyond_after_an_interim_answer: ("HTTP/1.1 103 Early Hints\r\n\r\n", "600", "502"),
    success: ("", "200", "200"),
    unusual_failure: ("", "599", "599"),
}

//! Tests of catalogue files.

use {
    jujubeline_catalogue::{Catalogue, Edit, parse_file},
    jujubeline_core::cases,
    quickcheck::quickcheck,
};

const SAMPLE: &str = r#"retired = ["host-7"]

[[entry]]
name = "schedules-read"
owner = "blue-mahoe-dispatch"
method = "GET"
path_prefix = "/schedules/"
service = "schedules"
class = "normal"            # critical, high, normal, low
deadline_ms = 2000
retry_bound = 3
concurrency = 80            # for each target instance
at_most_once = false
prefer = "goodput"          # or "recovery"
"#;

/// The sample followed by a second entry, in which the first occurrence of `line` is replaced.
fn sample_with(line: &str, replacement: &str) -> String {
    let second = SAMPLE
        .replace("retired = [\"host-7\"]\n", "")
        .replace("schedules-read", "stock-read")
        .replace("/schedules/", "/stock/");
    assert!(second.contains(line), "{line} is part of the sample");
    format!("{SAMPLE}{}", second.replacen(line, replacement, 1))
}

fn problems(text: &str) -> Vec<String> {
    let problems = parse_file("c.toml", text).expect_err("the file is invalid");
    problems.iter().map(ToString::to_string).collect()
}

/// Guards against a file that `catalogue get` writes and `catalogue apply` refuses or reads differently.
#[test]
fn written_file_parses_to_same_catalogue() {
    let catalogue = parse_file("c.toml", SAMPLE).expect("the sample is valid");
    assert_eq!(catalogue.entries.len(), 1);
    let written = catalogue.to_toml().expect("written");
    assert_eq!(parse_file("c.toml", &written), Ok(catalogue.clone()));
    let empty = Catalogue::default();
    let written = empty.to_toml().expect("written");
    assert_eq!(parse_file("c.toml", &written), Ok(empty.clone()));
    let edits = empty.edits_to(&catalogue);
    assert!(
        matches!(&edits[..], [Edit::Set(_), Edit::Retire(_)]),
        "{edits:?}"
    );
    let edits = catalogue.edits_to(&empty);
    assert!(
        matches!(&edits[..], [Edit::Remove(_), Edit::Reinstate(_)]),
        "{edits:?}"
    );
}

cases! {
    /// Guards against an invalid file that is accepted, and against a problem that lacks its line or field.
    fn reports_one_problem(text: String, expected: &str) {
        let found = problems(&text);
        let matches = found.len() == 1 && found[0].starts_with(expected);
        assert!(matches, "{found:#?} instead of {expected:?}");
    }
    unknown_field: (sample_with("at_most_once", "colour = 1\nat_most_once"), "c.toml:26: entry stock-read.colour: unknown field"),
    unknown_table: ("[x]\n".to_owned(), "c.toml:1: x: unknown field"),
    wrong_type_text: (sample_with("service = \"schedules\"", "service = 7"), "c.toml:21: entry stock-read.service: must be a string, not integer"),
    wrong_type_number: (sample_with("2000", "\"2 s\""), "c.toml:23: entry stock-read.deadline_ms: must be an integer"),
    wrong_type_flag: (sample_with("false", "0"), "c.toml:26: entry stock-read.at_most_once: must be true or false"),
    wrong_type_list: ("retired = \"host-7\"".to_owned(), "c.toml:1: retired: must be an array"),
    entry_as_table: ("[entry]\nname = \"a\"".to_owned(), "c.toml:1: entry: must be an array of tables"),
    missing_field: (sample_with("concurrency = 80            # for each target instance\n", ""), "c.toml:16: entry stock-read.concurrency: missing"),
    unknown_class: (sample_with("\"normal\"", "\"urgent\""), "c.toml:22: entry stock-read.class: \"urgent\" is none of critical"),
    unknown_preference: (sample_with("\"goodput\"", "\"speed\""), "c.toml:27: entry stock-read.prefer: \"speed\""),
    duplicate_name: (sample_with("stock-read", "schedules-read"), "c.toml:17: entry schedules-read.name: duplicate name"),
    equal_prefix: (sample_with("/stock/", "/schedules/"), "c.toml:20: entry stock-read.path_prefix: GET \"/schedules/\" overlaps"),
    prefix_inside_segment: (sample_with("/stock/", "/sched"), "c.toml:7: entry schedules-read.path_prefix: GET \"/schedules/\" overlaps \"/sched\""),
    retry_bound_over_the_limit: (sample_with("retry_bound = 3", "retry_bound = 11"), "c.toml:24: entry stock-read.retry_bound: 11 is not in 0 to 10"),
    deadline_of_zero: (sample_with("2000", "0"), "c.toml:23: entry stock-read.deadline_ms: 0 is not in 1 to 600000"),
    deadline_over_the_limit: (sample_with("2000", "600001"), "c.toml:23: entry stock-read.deadline_ms: 600001"),
    deadline_negative: (sample_with("2000", "-5"), "c.toml:23: entry stock-read.deadline_ms: -5 is negative"),
    concurrency_of_zero: (sample_with("80", "0"), "c.toml:25: entry stock-read.concurrency: 0 is not"),
    concurrency_beyond_its_type: (sample_with("80", "5_000_000_000"), "c.toml:25: entry stock-read.concurrency"),
    at_most_once_with_get: (sample_with("false", "true"), "c.toml:26: entry stock-read.at_most_once: is true with method GET"),
    empty_owner: (sample_with("blue-mahoe-dispatch", " "), "c.toml:18: entry stock-read.owner: is empty"),
    method_in_lower_case: (sample_with("GET", "get"), "c.toml:19: entry stock-read.method: \"get\" is none of"),
    path_without_slash: (sample_with("/stock/", "stock"), "c.toml:20: entry stock-read.path_prefix: \"stock\" does not start"),
    name_with_space: (sample_with("stock-read", "stock read"), "c.toml:17: entry number 2.name: \"stock read\" is not"),
    retired_twice: (SAMPLE.replace("\"host-7\"", "\"a\", \"a\""), "c.toml:1: retired: \"a\" is listed twice"),
    retired_not_a_name: (SAMPLE.replace("host-7", "host 7"), "c.toml:1: retired: \"host 7\" is not"),
    syntax_at_the_end: ("retired = \"\"\"\n".to_owned(), "c.toml:1: syntax: "),
    syntax: (sample_with("2000", "2 s"), "c.toml:23: syntax: "),
}

/// Guards against a deadline in another unit that is read as milliseconds, or is reported without the right field name.
#[test]
fn deadline_in_another_unit_is_refused() {
    for name in ["deadline", "deadline_s"] {
        let found = problems(&sample_with("deadline_ms", name));
        assert_eq!(
            found,
            [
                "c.toml:16: entry stock-read.deadline_ms: missing".to_owned(),
                format!(
                    "c.toml:23: entry stock-read.{name}: unknown field; write deadline_ms, the unit is part of the name"
                ),
            ]
        );
    }
}

/// Guards against a check that stops at the first problem.
#[test]
fn all_problems_are_reported_at_once() {
    let text = sample_with("\"normal\"", "\"urgent\"")
        .replace("2000", "0")
        .replace("host-7", "");
    let found = problems(&text);
    assert_eq!(found.len(), 4, "{found:#?}");
}

/// Guards against refusing nested prefixes, which the rule of the longest match makes unambiguous.
#[test]
fn nested_prefixes_at_segment_boundaries_are_valid() {
    let nested = sample_with("/stock/", "/schedules/archive/");
    assert!(parse_file("c.toml", &nested).is_ok());
    let other_method = sample_with("GET", "POST").replace("/stock/", "/schedules/");
    assert!(parse_file("c.toml", &other_method).is_ok());
}

quickcheck! {
    /// Guards against a corrupted file that causes a panic, or that is accepted and does not round-trip.
    fn corrupted_file_is_refused_or_round_trips(start: usize, length: u8, inserted: String) -> bool {
        let mut characters: Vec<char> = SAMPLE.chars().collect();
        let start = start % characters.len();
        let end = characters.len().min(start + usize::from(length % 16));
        characters.splice(start..end, inserted.chars());
        let corrupted: String = characters.into_iter().collect();
        match parse_file("c.toml", &corrupted) {
            Ok(catalogue) => {
                let written = catalogue.to_toml().expect("written");
                parse_file("c.toml", &written) == Ok(catalogue)
            }
            Err(problems) => problems.iter().all(|problem| problem.line <= corrupted.lines().count().max(1)),
        }
    }
}

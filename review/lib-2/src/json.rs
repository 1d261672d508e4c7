//! Finds the text of single members in JSON objects, which is all that the store stand-in needs.

/// Text of the member `name` of the JSON object in `text`.
pub fn member<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let bytes = text.as_bytes();
    let mut at = skip_space(bytes, 0);
    if bytes.get(at) != Some(&b'{') {
        return None;
    }
    at += 1;
    loop {
        at = skip_space(bytes, at);
        if bytes.get(at) != Some(&b'"') {
            return None;
        }
        let key_end = skip_value(bytes, at);
        let key = &text[at + 1..key_end - 1];
        at = skip_space(bytes, key_end);
        if bytes.get(at) != Some(&b':') {
            return None;
        }
        at = skip_space(bytes, at + 1);
        let end = skip_value(bytes, at);
        if key == name {
            return Some(&text[at..end]);
        }
        at = skip_space(bytes, end);
        if bytes.get(at) != Some(&b',') {
            return None;
        }
        at += 1;
    }
}

/// A string without its quotes. Names in these tests contain no escapes.
pub fn unquoted(text: &str) -> &str {
    text.trim_matches('"')
}

fn skip_space(bytes: &[u8], mut at: usize) -> usize {
    while bytes.get(at).is_some_and(u8::is_ascii_whitespace) {
        at += 1;
    }
    at
}

/// Position after the value that begins at `at`.
fn skip_value(bytes: &[u8], mut at: usize) -> usize {
    let mut depth = 0;
    while at < bytes.len() {
        match bytes[at] {
            b'"' => {
                at += 1;
                while at < bytes.len() && bytes[at] != b'"' {
                    at += if bytes[at] == b'\\' { 2 } else { 1 };
                }
                at += 1;
            }
            b'{' | b'[' => {
                depth += 1;
                at += 1;
            }
            b'}' | b']' if depth > 0 => {
                depth -= 1;
                at += 1;
            }
            b'}' | b']' | b',' if depth == 0 => return at,
            _ => at += 1,
        }
        if depth == 0 && at < bytes.len() && matches!(bytes[at], b',' | b'}' | b']' | b':') {
            return at;
        }
    }
    at
}

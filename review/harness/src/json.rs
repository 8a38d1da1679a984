//! Just enough JSON: the raw text of a field of an object.

/// End of the value that begins at `at` (white space skipped).
fn value_end(b: &[u8], mut at: usize) -> Option<usize> {
    match b.get(at)? {
        b'"' => {
            at += 1;
            while *b.get(at)? != b'"' {
                at += if b[at] == b'\\' { 2 } else { 1 };
            }
            Some(at + 1)
        }
        b'{' | b'[' => {
            let mut depth = 0;
            loop {
                match *b.get(at)? {
                    b'"' => at = value_end(b, at)? - 1,
                    b'{' | b'[' => depth += 1,
                    b'}' | b']' => depth -= 1,
                    _ => {}
                }
                at += 1;
                if depth == 0 {
                    return Some(at);
                }
            }
        }
        _ => {
            while at < b.len() && !b",]} \t\r\n".contains(&b[at]) {
                at += 1;
            }
            Some(at)
        }
    }
}

fn skip(b: &[u8], mut at: usize) -> usize {
    while at < b.len() && b" \t\r\n,:".contains(&b[at]) {
        at += 1;
    }
    at
}

/// Raw text of the field `key` of the object `text`.
pub fn field<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    let b = text.as_bytes();
    let mut at = skip(b, 0);
    if *b.get(at)? != b'{' {
        return None;
    }
    at += 1;
    loop {
        at = skip(b, at);
        if *b.get(at)? != b'"' {
            return None;
        }
        let key_end = value_end(b, at)?;
        let name = &text[at + 1..key_end - 1];
        let start = skip(b, key_end);
        let end = value_end(b, start)?;
        if name == key {
            return Some(&text[start..end]);
        }
        at = end;
    }
}

pub fn string(raw: &str) -> &str {
    raw.trim_matches('"')
}

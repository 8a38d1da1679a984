//! Merges the logs of several processes into a timeline of one flow, server or member.
//!
//! ```
//! use flamingofall::explain::{self, Line};
//!
//! let log = [
//!     "time=10.000 level=info event=member agent=10.1.0.12:8352 state=ready",
//!     "time=12.500 level=info decision=placed flow=tcp/192.0.2.7:1047>198.18.0.1:443 agent=10.1.0.12:8352",
//!     "time=12.600 level=info decision=placed flow=tcp/192.0.2.9:1030>198.18.0.1:443 agent=10.1.0.13:8352",
//! ];
//! let lines = log.iter().filter_map(|text| Line::parse("edge-1", text)).collect();
//! let flow = "tcp/192.0.2.7:1047>198.18.0.1:443";
//! let timeline = explain::timeline(lines, flow, explain::DEFAULT_CONTEXT_MARGIN);
//! assert_eq!(timeline.len(), 2);
//! assert!(!timeline[0].direct && timeline[1].direct);
//! ```

use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;

/// Default time before the first and after the last line about the subject within which context
/// lines are shown.
pub const DEFAULT_CONTEXT_MARGIN: Duration = Duration::from_secs(5);
/// Keys whose value is the subject of a line, even if the line reports a decision.
const SUBJECT_KEYS: [&str; 2] = ["flow", "server"];
/// Keys whose value names a member. A line with such a key is about the member, unless it reports a
/// decision about a flow.
const MEMBER_KEYS: [&str; 5] = ["agent", "owner", "member", "to", "first"];

/// A log line.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Name of the process that wrote the line: the name of the log file, or the name that a log
    /// collector put before the pairs.
    pub node: String,
    /// Seconds since the Unix epoch, according to the clock of the process's host.
    pub time: f64,
    /// The `key=value` pairs after the time, as written.
    pub text: String,
}

/// A log line in a timeline.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The log line, unchanged.
    pub line: Line,
    /// Seconds since the first line about the subject; negative for context before it.
    pub offset: f64,
    /// Whether the line is about the subject itself. If not, it is context: an event of a process
    /// that wrote about the subject.
    pub direct: bool,
}

impl Line {
    /// Parses a line of `key=value` pairs. A name before the pairs, which log collectors add,
    /// replaces `node`. Returns `None` for a line without a valid time.
    pub fn parse(node: &str, text: &str) -> Option<Self> {
        let start = text.find("time=")?;
        let (prefix, pairs) = text.split_at(start);
        let (time, rest) = pairs.split_once(' ').unwrap_or((pairs, ""));
        let time = time.strip_prefix("time=")?.parse().ok()?;
        let named = prefix
            .split_whitespace()
            .map(|word| word.trim_matches(|c: char| !c.is_alphanumeric()))
            .rfind(|word| word.parse::<f64>().is_err() && !word.is_empty());
        Some(Self {
            node: named.unwrap_or(node).to_owned(),
            time,
            text: rest.trim_end().to_owned(),
        })
    }

    /// The first value of a key, without quotes around it.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.pairs().find(|(k, _)| *k == key).map(|(_, v)| v)
    }

    /// The pairs in the order of the line. A quoted value may contain spaces.
    fn pairs(&self) -> impl Iterator<Item = (&str, &str)> {
        let mut rest = self.text.as_str();
        std::iter::from_fn(move || {
            let (key, after) = rest.trim_start().split_once('=')?;
            let (value, next) = match after.strip_prefix('"') {
                Some(quoted) => quoted.split_once('"').unwrap_or((quoted, "")),
                None => after.split_once(' ').unwrap_or((after, "")),
            };
            rest = next;
            Some((key, value))
        })
    }

    fn has_value(&self, subject: &str, keys: &[&str]) -> bool {
        self.pairs()
            .any(|(key, value)| value == subject && keys.contains(&key))
    }

    /// Whether the line reports a decision about a single flow.
    fn is_decision(&self) -> bool {
        self.get("decision").is_some()
    }
}

/// Selects the lines about a subject and their context, ordered by time. The subject is a flow, a
/// server or a member's address, written as in the logs.
///
/// Context lines are those from `margin` before the first line about the subject to `margin` after
/// the last, written by a process that wrote one of these lines. Decisions about flows, and lines
/// that name a member which no line about the subject names, are left out.
///
/// Clocks of hosts may differ, so lines of different processes that are milliseconds apart may be
/// out of order.
pub fn timeline(mut lines: Vec<Line>, subject: &str, margin: Duration) -> Vec<Entry> {
    lines.sort_by(|a, b| a.time.total_cmp(&b.time));
    let direct = |line: &Line| {
        line.has_value(subject, &SUBJECT_KEYS)
            || (line.has_value(subject, &MEMBER_KEYS) && !line.is_decision())
    };
    let subject_lines: Vec<&Line> = lines.iter().filter(|line| direct(line)).collect();
    let (Some(first), Some(last)) = (subject_lines.first(), subject_lines.last()) else {
        return Vec::new();
    };
    let (start, end) = (first.time, last.time);
    let nodes: BTreeSet<&str> = subject_lines
        .iter()
        .map(|line| line.node.as_str())
        .collect();
    let members: BTreeSet<&str> = subject_lines
        .iter()
        .flat_map(|line| line.pairs())
        .filter(|(key, _)| MEMBER_KEYS.contains(key))
        .map(|(_, value)| value)
        .collect();
    let margin = margin.as_secs_f64();
    let is_context = |line: &Line| {
        let near = line.time >= start - margin && line.time <= end + margin;
        let involved = nodes.contains(line.node.as_str())
            && line.pairs().all(|(key, value)| {
                // Skip lines about members that no line about the subject names.
                !MEMBER_KEYS.contains(&key) || members.contains(value)
            });
        near && involved && !line.is_decision()
    };
    lines
        .iter()
        .filter(|line| direct(line) || is_context(line))
        .map(|line| Entry {
            line: line.clone(),
            offset: line.time - start,
            direct: direct(line),
        })
        .collect()
}

impl fmt::Display for Entry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mark = if self.direct { '*' } else { ' ' };
        let Line { node, text, .. } = &self.line;
        write!(f, "{mark} {:+9.3} {node} {text}", self.offset)
    }
}

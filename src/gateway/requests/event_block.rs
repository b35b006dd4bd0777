//! What a block of lines in a stream's body is: an event, or bytes that belong to no event.

/// The fields of an event that have an effect.
const FIELDS: [&[u8]; 4] = [b"data", b"event", b"id", b"retry"];
/// The field that names an event.
const ID: &[u8] = b"id";
/// The same behind other text on its line.
const HIDDEN_ID: &[u8] = b"id:";
/// The field that holds an event's data.
const DATA: &[u8] = b"data";
/// May stand before the first event.
const BYTE_ORDER_MARK: &[u8] = "\u{feff}".as_bytes();
/// How the head of a response begins.
const STATUS_LINE: &[u8] = b"HTTP/1.";

/// What a block of lines is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum BlockKind {
  /// Nothing but ends of lines.
  BlankLines,
  /// An event, a comment, or fields without an effect.
  Event,
  /// The head of another response.
  AnswerHead,
  /// An event with an id, without data, and with a line that readers ignore, which may be its data under another name.
  IgnoredLines,
  /// An event with bytes that belong to none: it may lack a field.
  Damaged,
  /// Bytes that are no event.
  Noise,
}

impl BlockKind {
  /// What a block is; its last line may be incomplete.
  pub(super) fn of(block: &[u8]) -> Self {
    let mut lines = lines(block).filter(|line| !line.is_empty());
    match lines.clone().next() {
      None => return Self::BlankLines,
      Some(line) if line.starts_with(STATUS_LINE) => return Self::AnswerHead,
      Some(_) => {}
    }
    if holds_answer_head(lines.clone()) {
      return Self::Damaged;
    }
    let has_id = lines.clone().any(|line| name(line) == ID);
    let lacks_data = has_id && !lines.clone().any(|line| name(line) == DATA);
    if lacks_data && !lines.clone().all(has_effect) {
      return Self::IgnoredLines;
    }
    let has_effect = lines.clone().any(has_effect);
    let are_fields = lines.clone().all(is_field);
    let may_hide_id = !has_id && lines.clone().any(hides_id);
    match (are_fields, has_effect, lines.any(is_no_text) || may_hide_id) {
      (true, ..) | (false, true, false) => Self::Event,
      (false, true, true) => Self::Damaged,
      (false, false, _) => Self::Noise,
    }
  }
}

/// The lines of a block, without their ends and a byte order mark. An end of two bytes is followed by an empty line.
pub(super) fn lines(block: &[u8]) -> impl Iterator<Item = &[u8]> + Clone {
  let block = block.strip_prefix(BYTE_ORDER_MARK).unwrap_or(block);
  block.split(|byte| matches!(byte, b'\n' | b'\r'))
}

/// Whether the head of another response begins within a line, as after an event that was cut off: a status line, and a header field,
/// which has no effect in an event.
fn holds_answer_head<'a>(mut lines: impl Iterator<Item = &'a [u8]>) -> bool {
  let Some(mut line) = lines.next() else {
    return false;
  };
  lines.any(|next| {
    let former = std::mem::replace(&mut line, next);
    ends_with_status_line(former) && is_field(next) && next.contains(&b':') && !has_effect(next)
  })
}

/// Whether a line ends with a status line.
fn ends_with_status_line(line: &[u8]) -> bool {
  let mut positions = line.windows(STATUS_LINE.len()).enumerate();
  let found = positions.rfind(|(_, bytes)| *bytes == STATUS_LINE);
  let status = found.and_then(|(at, _)| line.get(at + STATUS_LINE.len() + 1..));
  let code = status.and_then(|status| status.strip_prefix(b" "));
  code.is_some_and(|code| code.len() >= 3 && code[..3].iter().all(u8::is_ascii_digit))
}

/// The name of a line's field; empty for a comment.
fn name(line: &[u8]) -> &[u8] {
  line.split(|byte| *byte == b':').next().unwrap_or_default()
}

/// Whether a line is no field, and text in it may stand before an id.
fn hides_id(line: &[u8]) -> bool {
  !is_field(line)
    && line
      .windows(HIDDEN_ID.len())
      .any(|bytes| bytes == HIDDEN_ID)
}

/// Whether a block has a field with an effect.
pub(super) fn has_field(block: &[u8]) -> bool {
  lines(block).any(|line| FIELDS.contains(&name(line)))
}

/// The names of a block's lines that readers ignore.
pub(super) fn ignored_names(block: &[u8]) -> impl Iterator<Item = &[u8]> {
  let ignored = lines(block).filter(|line| !has_effect(line));
  ignored.map(name)
}

/// The names of a block's lines that readers ignore and that hold a number: each may be a field under another name.
pub(super) fn ignored_names_of(block: &[u8], number: u64) -> impl Iterator<Item = &[u8]> {
  let value = |line: &[u8]| {
    let value = line.strip_prefix(name(line))?.strip_prefix(b":")?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
  };
  let ignored = lines(block).filter(|line| !has_effect(line));
  let of_number = ignored.filter(move |line| value(line) == Some(number));
  of_number.map(name)
}

/// Whether a line is a comment, or a field that has an effect.
fn has_effect(line: &[u8]) -> bool {
  let name = name(line);
  name.is_empty() || FIELDS.contains(&name)
}

/// Whether a line may be a field: readers ignore those that they don't know.
fn is_field(line: &[u8]) -> bool {
  let is_token = |byte: &u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_');
  name(line).iter().all(is_token)
}

/// Whether a line's name is no text, or a status line. Readers ignore lines of other names, which some servers send.
fn is_no_text(line: &[u8]) -> bool {
  let is_text = |byte: &u8| matches!(byte, b'\t' | b' '..=b'~');
  line.starts_with(STATUS_LINE) || !name(line).iter().all(is_text)
}

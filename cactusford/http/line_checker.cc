#include "cactusford/http/line_checker.h"

#include "cactusford/http/message.h"

#include <algorithm>
#include <array>

namespace cactusford::http {

namespace {

constexpr std::string_view digits = "0123456789";
constexpr std::string_view hex_digits = "0123456789abcdefABCDEF";

// A chunk size has as many digits as 64 bits, so it cannot wrap around.
constexpr std::size_t max_size_digits = 16;

// The bytes up to the reason phrase.
constexpr std::size_t status_bytes = std::string_view{ "HTTP/1.1 200" }.size();

bool
contains(std::string_view all, char c) noexcept
{
  return all.find(c) != std::string_view::npos;
}

using byte_set = std::array<bool, 256>;

template<typename Predicate>
byte_set
set_of(Predicate contains_byte)
{
  byte_set set{};
  for (std::size_t i = 0; i < set.size(); ++i) {
    set[i] = contains_byte(static_cast<char>(i));
  }
  return set;
}

bool
is_in(const byte_set& set, char c) noexcept
{
  return set[static_cast<unsigned char>(c)];
}

const byte_set token_bytes = set_of([](char c) { return is_token({ &c, 1 }); });

const byte_set text_bytes = set_of([](char c) {
  return c == ' ' || c == '\t' || is_field_value({ &c, 1 });
});

bool
is_text(char c) noexcept
{
  return is_in(text_bytes, c);
}

// Only versions 1.0 and 1.1 and status codes from 100 to 599 are defined.
bool
is_in_status_line(std::size_t at, char c) noexcept
{
  constexpr std::string_view start = "HTTP/1.";
  constexpr std::size_t minor_at = start.size();
  constexpr std::size_t code_at = minor_at + 2;
  if (at < start.size()) {
    return c == start[at];
  }
  if (at == minor_at) {
    return c == '0' || c == '1';
  }
  if (at == code_at - 1 || at == status_bytes) {
    return c == ' ';
  }
  if (at == code_at) {
    return c >= '1' && c <= '5';
  }
  return at < status_bytes ? contains(digits, c) : is_text(c);
}

bool
is_in_field(checked_line& line, char c) noexcept
{
  if (line.is_in_value) {
    return is_text(c);
  }
  line.is_in_value = c == ':' && line.size > 0;
  return line.is_in_value || is_in(token_bytes, c);
}

bool
is_in_chunk_size(checked_line& line, char c) noexcept
{
  if (line.is_in_value) {
    return is_text(c);
  }
  const bool had_blanks = line.is_in_blanks;
  line.is_in_value = c == ';' && line.size > 0;
  line.is_in_blanks =
    !line.is_in_value && line.size > 0 && (c == ' ' || c == '\t');
  return line.is_in_value || line.is_in_blanks ||
         (!had_blanks && line.size < max_size_digits &&
          contains(hex_digits, c));
}

bool
is_allowed(checked_line& line, char c) noexcept
{
  switch (line.kind) {
    case line_kind::request_line:
      return is_text(c);
    case line_kind::status_line:
      return is_in_status_line(line.size, c);
    case line_kind::field:
      return is_in_field(line, c);
    case line_kind::chunk_size:
      return is_in_chunk_size(line, c);
    case line_kind::chunk_end:
      return false;
  }
  return false;
}

bool
may_end(const checked_line& line) noexcept
{
  switch (line.kind) {
    case line_kind::request_line:
    case line_kind::chunk_end:
      return true;
    case line_kind::status_line:
      return line.size >= status_bytes;
    case line_kind::field:
      return line.size == 0 || line.is_in_value;
    case line_kind::chunk_size:
      return line.size > 0 && !line.is_in_blanks;
  }
  return false;
}

void
take(checked_line& line, char c) noexcept
{
  if (line.has_carriage_return) {
    line.state = c != '\n'        ? line_state::malformed
                 : line.size == 0 ? line_state::ended_empty
                                  : line_state::ended;
  } else if (c == '\r' && may_end(line)) {
    line.has_carriage_return = true;
  } else if (is_allowed(line, c)) {
    ++line.size;
  } else {
    line.state = line_state::malformed;
  }
}

// The rest of such a line is text.
bool
is_in_text(const checked_line& line) noexcept
{
  return !line.has_carriage_return &&
         (line.is_in_value || line.kind == line_kind::request_line);
}

// Skips text, of which most bytes of a head are.
std::size_t
skip_text(checked_line& line, std::string_view bytes) noexcept
{
  std::size_t count = 0;
  while (count < bytes.size() && is_text(bytes[count])) {
    ++count;
  }
  line.size += count;
  return count;
}

} // namespace

std::size_t
check(checked_line& line, std::string_view bytes) noexcept
{
  std::size_t count = 0;
  while (count < bytes.size() && line.state == line_state::open) {
    if (is_in_text(line)) {
      count += skip_text(line, bytes.substr(count));
    }
    if (count < bytes.size()) {
      take(line, bytes[count]);
      ++count;
    }
  }
  return count;
}

} // namespace cactusford::http

// Checks the lines that frame HTTP/1.1 messages against the grammar of RFC
// 9112. The http-parser of distributions is built without its strict mode: it
// takes blanks in names, folded fields, bare line feeds, status codes of any
// value, and any two bytes behind a chunk. Does no I/O.
#pragma once

#include <cstddef>
#include <string_view>

namespace cactusford::http {

enum class line_kind
{
  request_line,
  status_line,
  // A field of a head or trailer, or the empty line behind them.
  field,
  chunk_size,
  // The end of the line behind the bytes of a chunk.
  chunk_end,
};

enum class line_state
{
  open,
  // Ended, and the line was not empty.
  ended,
  ended_empty,
  malformed,
};

struct checked_line
{
  line_kind kind = line_kind::status_line;
  line_state state = line_state::open;
  // Bytes before the end of the line.
  std::size_t size = 0;
  // Behind the name of a field, or the size of a chunk.
  bool is_in_value = false;
  // In the blanks between the size of a chunk and its extensions.
  bool is_in_blanks = false;
  bool has_carriage_return = false;

  friend bool operator==(const checked_line&, const checked_line&) = default;
};

// Checks bytes up to the end of the line. Returns how many belong to it.
std::size_t
check(checked_line& line, std::string_view bytes) noexcept;

} // namespace cactusford::http

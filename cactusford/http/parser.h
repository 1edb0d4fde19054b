// Incremental HTTP/1.1 parser: http-parser and a stricter check of lines.
#pragma once

#include "cactusford/http/message.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace cactusford::http {

// Returns the memory that the fields take. A field of four bytes takes many
// times as much.
std::size_t
memory_of(const headers& fields) noexcept;

enum class parser_kind
{
  request,
  response,
};

// Start line and headers of a message. `status` is 0 for a request, `method`
// and `target` are empty for a response.
struct head
{
  std::string method;
  std::string target;
  int status = 0;
  headers fields;
  // The body has neither a length nor chunks, so it ends with the connection.
  bool is_close_delimited = false;
  bool keep_alive = true;
};

// Callbacks, in the order of the message. A callback that returns false pauses
// the parser, and the rest of the input is not consumed.
struct parser_callbacks
{
  std::function<bool(head&&)> on_head;
  std::function<bool(std::string_view)> on_body;
  std::function<bool()> on_end;
};

enum class parse_state
{
  parsing,
  paused,
  malformed,
};

class parser
{
public:
  parser(parser_kind kind, parser_callbacks callbacks);
  ~parser();
  parser(const parser&) = delete;
  parser& operator=(const parser&) = delete;

  // Parses bytes and returns how many were consumed.
  std::size_t feed(std::string_view bytes);

  // Signals that the peer has closed the connection in an orderly way. Returns
  // true if this completes a message.
  bool feed_end();

  // Continues after a pause.
  void resume();

  parse_state state() const;

  // Bytes read so far of an incomplete head; 0 after a complete one. The fields
  // behind a chunked body count as well, although they are dropped.
  std::size_t head_bytes() const;

  // Memory that the incomplete head takes, its fields included.
  std::size_t head_memory() const;

  // Returns true between the first byte of a message and its end.
  bool inside_message() const;

private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

} // namespace cactusford::http

// Incremental HTTP/1.1 parser, by http-parser in its strict mode.
#pragma once

#include "cactusford/http/message.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace cactusford::http {

enum class parser_kind
{
  request,
  response,
};

// What the parser has read. Of a request, `status` is 0; of a response,
// `method` and `target` are empty.
struct head
{
  std::string method;
  std::string target;
  int status = 0;
  headers fields;
  // The body ends with the connection, as nothing else frames it.
  bool ends_with_connection = false;
  bool keep_alive = true;
};

// Called in the order of the message. A false return stops the parser: the
// rest of the input stays unread.
struct parser_events
{
  std::function<bool(head&&)> on_head;
  std::function<bool(std::string_view)> on_body;
  std::function<bool()> on_end;
};

enum class parse_state
{
  going,
  stopped,
  malformed,
};

class parser
{
public:
  parser(parser_kind kind, parser_events events);
  ~parser();
  parser(const parser&) = delete;
  parser& operator=(const parser&) = delete;

  // Takes bytes and returns how many of them it used.
  std::size_t feed(std::string_view bytes);

  // The peer has ended the connection in an orderly way. True when that
  // completes a message.
  bool feed_end();

  // Goes on after a stop.
  void resume();

  parse_state state() const;

  // Bytes of the head that is being read.
  std::size_t head_bytes() const;

  // True between the first byte of a message and its end.
  bool inside_message() const;

private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

} // namespace cactusford::http

#include "cactusford/http/parser.h"

#include "cactusford/testing/section.h"

#include <criterion/criterion.h>

using namespace cactusford;
using namespace cactusford::http;

namespace {

struct recording_parser
{
  std::vector<head> heads;
  std::string body;
  int ends = 0;
  parser p;

  explicit recording_parser(parser_kind kind)
    : p{ kind,
         { [this](head&& h) {
            heads.push_back(std::move(h));
            return true;
          },
           [this](std::string_view data) {
             body += data;
             return true;
           },
           [this] {
             ++ends;
             return true;
           } } }
  {
  }
};

} // namespace

Test(parser, parses_a_request_received_byte_by_byte)
{
  recording_parser r{ parser_kind::request };
  const std::string text = "POST /a?b=1 HTTP/1.1\r\nHost: x\r\n"
                           "Content-Length: 3\r\n\r\nabc";
  for (const char c : text) {
    r.p.feed({ &c, 1 });
  }
  cr_assert_eq(r.ends, 1);
  cr_assert(r.heads.front().method == "POST");
  cr_assert(r.heads.front().target == "/a?b=1");
  cr_assert(find(r.heads.front().fields, "host") == "x");
  cr_assert(r.body == "abc");
}

Test(parser, excludes_the_body_from_the_head_size)
{
  // A batch of 50 KB was rejected for a too large head, because the bytes of
  // its body were counted too.
  recording_parser r{ parser_kind::request };
  r.p.feed("POST / HTTP/1.1\r\nContent-Length: 50000\r\n\r\n");
  r.p.feed(std::string(20000, 'x'));
  cr_assert_lt(r.p.head_bytes(), 100);
}

Test(parser, detects_how_a_response_ends)
{
  SECTION("by its length")
  {
    recording_parser r{ parser_kind::response };
    r.p.feed("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    cr_assert_eq(r.ends, 1);
    cr_assert_not(r.heads.front().is_close_delimited);
  }
  SECTION("when the connection ends")
  {
    recording_parser r{ parser_kind::response };
    r.p.feed("HTTP/1.1 200 OK\r\n\r\npart");
    cr_assert(r.heads.front().is_close_delimited);
    cr_assert_eq(r.ends, 0);
    cr_assert(r.p.feed_end(), "an orderly shutdown completes the response");
  }
  SECTION("incomplete: the body is shorter than its length")
  {
    recording_parser r{ parser_kind::response };
    r.p.feed("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart");
    cr_assert_not(r.p.feed_end());
    cr_assert_eq(r.ends, 0);
  }
}

Test(parser, rejects_malformed_http)
{
  for (const auto* text : { "\x16\x03\x01garbage\r\n\r\n",
                            "HTTP/1.1 2xx OK\r\n\r\n",
                            "HTTP/1.1 200 OK\r\nbad header\r\n\r\n" }) {
    recording_parser r{ parser_kind::response };
    r.p.feed(text);
    cr_assert(r.p.state() == parse_state::malformed, "%s", text);
  }
}

// Guards against fields behind a chunked body, which were collected without a
// limit.
Test(parser, drops_and_counts_trailers)
{
  recording_parser r{ parser_kind::request };
  r.p.feed(
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n");
  cr_assert_eq(r.p.head_bytes(), 0);
  std::size_t sent = 0;
  for (int i = 0; i < 100; ++i) {
    sent += r.p.feed("Name: value\r\n");
  }
  cr_assert_geq(r.p.head_bytes(), sent);
  cr_assert_eq(r.p.head_memory(), 0);
  r.p.feed("\r\n");
  cr_assert_eq(r.ends, 1);
  cr_assert_eq(r.heads.size(), 1);
  cr_assert_eq(r.heads[0].fields.size(), 1);
  cr_assert_eq(r.p.head_bytes(), 0);
}

// Guards against a limit that counts the bytes of short fields and not the
// memory that they take.
Test(parser, reports_the_memory_of_an_incomplete_head)
{
  recording_parser r{ parser_kind::request };
  r.p.feed("GET / HTTP/1.1\r\n");
  constexpr std::size_t fields = 1000;
  for (std::size_t i = 0; i < fields; ++i) {
    r.p.feed("a:\r\n");
  }
  cr_assert_geq(r.p.head_memory(), fields * sizeof(header));
  r.p.feed("\r\n");
  cr_assert_eq(r.p.head_memory(), 0);
  cr_assert_geq(memory_of(r.heads[0].fields), fields * sizeof(header));
}

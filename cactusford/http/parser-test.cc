#include "cactusford/http/parser.h"

#include "cactusford/testing/section.h"

#include <criterion/criterion.h>

using namespace cactusford;
using namespace cactusford::http;

namespace {

struct reading
{
  std::vector<head> heads;
  std::string body;
  int ends = 0;
  parser p;

  explicit reading(parser_kind kind)
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

Test(parser, reads_a_request_that_comes_byte_by_byte)
{
  reading r{ parser_kind::request };
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

Test(parser, counts_only_the_head_as_head)
{
  // A batch of 50 KB was refused as having too large a head, because the
  // bytes of its body counted as well.
  reading r{ parser_kind::request };
  r.p.feed("POST / HTTP/1.1\r\nContent-Length: 50000\r\n\r\n");
  r.p.feed(std::string(20000, 'x'));
  cr_assert_lt(r.p.head_bytes(), 100);
}

Test(parser, tells_how_a_response_ends)
{
  SECTION("by its length")
  {
    reading r{ parser_kind::response };
    r.p.feed("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    cr_assert_eq(r.ends, 1);
    cr_assert_not(r.heads.front().ends_with_connection);
  }
  SECTION("with its connection")
  {
    reading r{ parser_kind::response };
    r.p.feed("HTTP/1.1 200 OK\r\n\r\npart");
    cr_assert(r.heads.front().ends_with_connection);
    cr_assert_eq(r.ends, 0);
    cr_assert(r.p.feed_end(), "an orderly end completes it");
  }
  SECTION("not at all: the rest of a known length is missing")
  {
    reading r{ parser_kind::response };
    r.p.feed("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart");
    cr_assert_not(r.p.feed_end());
    cr_assert_eq(r.ends, 0);
  }
}

Test(parser, refuses_what_is_not_http)
{
  for (const auto* text : { "\x16\x03\x01garbage\r\n\r\n",
                            "HTTP/1.1 2xx OK\r\n\r\n",
                            "HTTP/1.1 200 OK\r\nbad header\r\n\r\n" }) {
    reading r{ parser_kind::response };
    r.p.feed(text);
    cr_assert(r.p.state() == parse_state::malformed, "%s", text);
  }
}

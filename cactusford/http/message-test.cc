// What `encode` writes is read back by the parser as one equal message, or it
// writes nothing of it.
#include "cactusford/http/message.h"

#include "cactusford/http/parser.h"
#include "cactusford/testing/section.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace cactusford;
using namespace cactusford::http;

namespace {

struct read_back
{
  std::vector<head> heads;
  std::string body;
  std::size_t ends = 0;
  bool is_complete = false;
};

read_back
read(parser_kind kind, const std::string& bytes)
{
  read_back r;
  parser p{ kind,
            { [&](head&& h) {
               r.heads.push_back(std::move(h));
               return true;
             },
              [&](std::string_view data) {
                r.body += data;
                return true;
              },
              [&] {
                ++r.ends;
                return true;
              } } };
  const auto consumed = p.feed(bytes);
  r.is_complete =
    consumed == bytes.size() && p.state() != parse_state::malformed;
  return r;
}

// Text in which the bytes that separate messages and headers are frequent.
rc::Gen<std::string>
any_text()
{
  const auto separators =
    rc::gen::elementOf(std::string{ "\r\n :\t\0/#%aA0\x7f\x80", 14 });
  return rc::gen::container<std::string>(
    rc::gen::oneOf(separators, rc::gen::arbitrary<char>()));
}

rc::Gen<headers>
any_headers()
{
  const auto name = rc::gen::oneOf(
    any_text(),
    rc::gen::elementOf(std::vector<std::string>{
      "A", "b-c", "Content-Length", "transfer-encoding", "Host" }));
  return rc::gen::container<headers>(
    rc::gen::construct<header>(name, any_text()));
}

// Removes the header that `encode` adds.
headers
without_framing(headers fields)
{
  remove(fields, "Content-Length");
  return fields;
}

} // namespace

// Guards against a request that is read as two by its receiver.
Test(message, written_requests_are_read_back_as_one)
{
  const bool ok = rc::check([] {
    request r;
    r.method = *rc::gen::oneOf(
      any_text(),
      rc::gen::elementOf(std::vector<std::string>{ "POST", "PUT", "DELETE" }));
    r.target = *rc::gen::oneOf(
      any_text(),
      rc::gen::map(any_text(), [](const std::string& s) { return "/" + s; }),
      rc::gen::just<std::string>("/x"));
    r.fields = *any_headers();
    r.body = *any_text();
    const auto bytes = encode(r);
    if (unwritable_part(r)) {
      RC_ASSERT(bytes.empty());
      return;
    }
    const auto back = read(parser_kind::request, bytes);
    // The parser knows the registered methods only.
    if (!back.is_complete && r.method != "POST" && r.method != "PUT") {
      RC_ASSERT(back.heads.empty());
      return;
    }
    RC_ASSERT(back.is_complete);
    RC_ASSERT(back.heads.size() == 1U);
    RC_ASSERT(back.ends == 1U);
    RC_ASSERT(back.heads[0].method == r.method);
    RC_ASSERT(back.heads[0].target == r.target);
    RC_ASSERT(without_framing(back.heads[0].fields) == r.fields);
    RC_ASSERT(back.body == r.body);
  });
  cr_assert(ok);
}

// Guards against a response with headers that its sender did not mean.
Test(message, written_responses_are_read_back_as_one)
{
  const bool ok = rc::check([] {
    const response r{ 200, *any_headers(), *any_text() };
    const auto back = read(parser_kind::response, encode(r));
    RC_ASSERT(back.is_complete);
    RC_ASSERT(back.heads.size() == 1U);
    RC_ASSERT(back.ends == 1U);
    if (back.heads[0].status == r.status) {
      RC_ASSERT(without_framing(back.heads[0].fields) == r.fields);
      RC_ASSERT(back.body == r.body);
    } else {
      RC_ASSERT(back.heads[0].status == 500);
      RC_ASSERT(back.body.empty());
    }
  });
  cr_assert(ok);
}

// Guards against refusing what callers may send.
Test(message, common_requests_can_be_written)
{
  const request r{ "POST",
                   "/a/b%20c?x=1&y=~z",
                   { { "Host", "h:80" },
                     { "X-Empty", "" },
                     { "X-Text", "a, \"b\"; c=d\t\xc3\xa9 " } },
                   "line\r\nbreaks" };
  cr_assert_not(unwritable_part(r));
  cr_assert_not(encode(r).empty());
}

// Guards against a typed error that does not say what is wrong.
Test(message, the_unwritable_part_is_named)
{
  const request good{ "POST", "/x", { { "A", "b" } }, "" };
  auto r = good;
  r.method = "PO ST";
  cr_assert(unwritable_part(r) == "method");
  r = good;
  r.target = "/x HTTP/1.1\r\nB: c";
  cr_assert(unwritable_part(r) == "target");
  r = good;
  r.fields.push_back({ "B", "c\r\nD: e" });
  cr_assert(unwritable_part(r) == "header B");
  r = good;
  r.fields.push_back({ "Transfer-Encoding", "chunked" });
  cr_assert(unwritable_part(r) == "header Transfer-Encoding");
}

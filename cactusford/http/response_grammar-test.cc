// Tests which bytes are read as a response, and as which one: what is not
// exactly a response of HTTP/1.1 is refused and never passed on.
#include "cactusford/http/parser.h"

#include "cactusford/testing/section.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <optional>
#include <utility>

using namespace cactusford;
using namespace cactusford::http;

namespace {

struct reading
{
  std::vector<std::pair<head, std::string>> messages;
  parse_state state = parse_state::parsing;
};

// Reads text in pieces, and returns the messages that were complete at its end.
reading
read_in_pieces(parser_kind kind, const std::string& text, std::size_t piece)
{
  reading r;
  std::pair<head, std::string> current;
  parser p{ kind,
            { [&](head&& h) {
               current = { std::move(h), "" };
               return true;
             },
              [&](std::string_view data) {
                current.second += data;
                return true;
              },
              [&] {
                r.messages.push_back(std::move(current));
                return true;
              } } };
  for (std::size_t at = 0; at < text.size(); at += piece) {
    p.feed(std::string_view{ text }.substr(at, piece));
  }
  p.feed_end();
  r.state = p.state();
  return r;
}

bool
is_refused(const std::string& text, parser_kind kind = parser_kind::response)
{
  const auto whole = read_in_pieces(kind, text, text.size());
  const auto bytes = read_in_pieces(kind, text, 1);
  cr_assert(whole.state == bytes.state, "%s", text.c_str());
  cr_assert_eq(whole.messages.size(), bytes.messages.size());
  return whole.state == parse_state::malformed && whole.messages.empty();
}

// The body, or nullopt if the text is not one response.
std::optional<std::string>
body_of(const std::string& text)
{
  const auto r = read_in_pieces(
    parser_kind::response, text, std::max<std::size_t>(text.size(), 1));
  const bool is_one = r.state == parse_state::parsing && r.messages.size() == 1;
  return is_one ? std::optional{ r.messages.front().second } : std::nullopt;
}

const std::string ok_line = "HTTP/1.1 200 OK\r\n";

std::string
with_length(const std::string& fields)
{
  return ok_line + fields + "Content-Length: 2\r\n\r\nok";
}

std::string
in_chunks(const std::string& chunks)
{
  return ok_line + "Transfer-Encoding: chunked\r\n\r\n" + chunks;
}

std::string
coded(const std::string& coding)
{
  return ok_line + "Transfer-Encoding: " + coding +
         "\r\n\r\n2\r\nok\r\n0\r\n\r\n";
}

bool
is_token_byte(int value)
{
  const auto c = static_cast<char>(value);
  return is_token({ &c, 1 });
}

} // namespace

// Guards against lines of a server in trouble that are passed on to callers,
// and against a length in one of them that is taken for that of the body.
Test(response_grammar, refuses_names_that_are_not_tokens)
{
  for (int value = 0; value < 256; ++value) {
    const auto c = static_cast<char>(value);
    const bool is_name = is_token_byte(value);
    const bool is_separator = c == ':';
    cr_expect_eq(is_refused(with_length(std::string{ "A" } + c + "b: x\r\n")),
                 !is_name && !is_separator,
                 "inside a name: byte %d",
                 value);
    cr_expect_eq(is_refused(with_length(std::string{ c } + "b: x\r\n")),
                 !is_name,
                 "at the start of a name: byte %d",
                 value);
    cr_expect_eq(is_refused(in_chunks(std::string{ "2\r\nok\r\n0\r\nA" } + c +
                                      "b: x\r\n\r\n")),
                 !is_name && !is_separator,
                 "in a trailer: byte %d",
                 value);
    cr_expect_eq(is_refused(std::string{ "POST / HTTP/1.1\r\nA" } + c +
                              "b: x\r\nContent-Length: 2\r\n\r\nok",
                            parser_kind::request),
                 !is_name && !is_separator,
                 "in a request: byte %d",
                 value);
  }
  cr_expect(is_refused(ok_line + "Content-Length : 2\r\n\r\nok"));
  cr_expect(is_refused(with_length(": empty\r\n")));
  cr_expect(is_refused(with_length(" folded\r\n")));
  cr_expect(is_refused(with_length("no colon\r\n")));
}

Test(response_grammar, refuses_control_bytes_and_folds_in_values)
{
  constexpr int delete_byte = 0x7f;
  for (int value = 0; value < 256; ++value) {
    const bool is_control =
      (value < ' ' && value != '\t') || value == delete_byte;
    const auto text =
      std::string{ "A: x" } + static_cast<char>(value) + "y\r\n";
    cr_expect_eq(is_refused(with_length(text)), is_control, "byte %d", value);
  }
  cr_expect(is_refused(with_length("A: b\r\n c\r\n")));
  cr_expect(is_refused(ok_line + "Content-Length:\r\n 2\r\n\r\nok"));
  cr_expect(is_refused(with_length("A: b\rContent-Length: 9\r\n")));
}

// Guards against an answer whose status is no status: it was skipped as an
// interim response, and what followed was taken for the answer.
Test(response_grammar, refuses_status_lines_that_are_not_defined)
{
  for (const auto* line :
       { "HTTP/1.1 000 OK",   "HTTP/1.1 001 OK",  "HTTP/1.1 099 OK",
         "HTTP/1.1 600 OK",   "HTTP/1.1 999 OK",  "HTTP/1.1 20 OK",
         "HTTP/1.1 2000 OK",  "HTTP/1.1 0200 OK", "HTTP/1.1  200 OK",
         "HTTP/1.1 2 0 OK",   "HTTP/1.1 200OK",   "HTTP/1.1 -20 OK",
         "HTTP/0.9 200 OK",   "HTTP/1.2 200 OK",  "HTTP/2.0 200 OK",
         "HTTP/11.1 200 OK",  "http/1.1 200 OK",  "ICY 200 OK",
         "\r\nHTTP/1.1 200",  "xHTTP/1.1 200 OK", "HTTP/1.1 101 Up",
         "HTTP/1.1 200 \x01", "HTTP/1.1 200 O\rK" }) {
    cr_expect(
      is_refused(std::string{ line } + "\r\nContent-Length: 2\r\n\r\nok"),
      "%s",
      line);
  }
  for (int status = 200; status < 600; ++status) {
    const bool has_body = status != 204 && status != 304;
    const auto text = "HTTP/1.1 " + std::to_string(status) + " Reason\r\n";
    const auto length = has_body ? "Content-Length: 2\r\n\r\nok" : "\r\n";
    cr_expect(body_of(text + length) == (has_body ? "ok" : ""), "%d", status);
  }
  cr_expect(body_of("HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok") == "ok");
  cr_expect(body_of("HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok") == "ok");
}

// Guards against bytes that are read as the next response, or the next response
// that is read as a body.
Test(response_grammar, refuses_bodies_where_there_is_none)
{
  const auto next = ok_line + "Content-Length: 2\r\n\r\nok";
  for (const auto* status : { "100", "102", "103", "199", "204" }) {
    const auto line = std::string{ "HTTP/1.1 " } + status + " Reason\r\n";
    cr_expect(is_refused(line + "Content-Length: 2\r\n\r\nno" + next));
    cr_expect(is_refused(
      line + "Transfer-Encoding: chunked\r\n\r\n1\r\nn\r\n0\r\n\r\n" + next));
    const auto r =
      read_in_pieces(parser_kind::response, line + "\r\n" + next, 7);
    cr_assert_eq(r.messages.size(), 2);
    cr_expect(r.messages[1].second == "ok");
  }
  SECTION("a length that belongs to the response which was not modified")
  {
    const auto r =
      read_in_pieces(parser_kind::response,
                     "HTTP/1.1 304 Same\r\nContent-Length: 900\r\n\r\n" + next,
                     1000);
    cr_assert_eq(r.messages.size(), 2);
    cr_expect(r.messages[0].second.empty());
    cr_expect(r.messages[1].second == "ok");
  }
}

// Guards against a body that is returned as it is coded, or cut at another
// place than the server's.
Test(response_grammar, refuses_framing_that_is_ambiguous)
{
  SECTION("lengths")
  {
    for (const auto* value : { "+2",
                               "-2",
                               "2, 2",
                               "1 2",
                               "0x2",
                               "",
                               "2x",
                               "18446744073709551617",
                               "18446744073709551615" }) {
      cr_expect(is_refused(ok_line + "Content-Length: " + value + "\r\n\r\nok"),
                "%s",
                value);
    }
    cr_expect(is_refused(with_length("Content-Length: 2\r\n")));
    cr_expect(is_refused(with_length("Content-Length: 3\r\n")));
    cr_expect(is_refused(with_length("Transfer-Encoding: chunked\r\n")));
    cr_expect(is_refused(with_length("Transfer-Encoding: gzip\r\n")));
  }
  SECTION("codings")
  {
    for (const auto* value : { "gzip",
                               "identity",
                               "xchunked",
                               "chunkedx",
                               "chunked, chunked",
                               "gzip, chunked",
                               "chunked, gzip",
                               "chunked;a=b",
                               "\"chunked\"",
                               "chunked\r\nTransfer-Encoding: chunked",
                               "" }) {
      cr_expect(is_refused(coded(value)), "%s", value);
    }
    // A tab behind the coding is not understood, so it must not pass either.
    cr_expect(is_refused(coded("chunked\t")));
    cr_expect(body_of(coded("chunked")) == "ok");
    cr_expect(body_of(coded("Chunked ")) == "ok");
    cr_expect(is_refused("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n"
                         "\r\n2\r\nok\r\n0\r\n\r\n"));
  }
  SECTION("ends of lines")
  {
    cr_expect(is_refused("HTTP/1.1 200 OK\nContent-Length: 2\n\nok"));
    cr_expect(is_refused("HTTP/1.1 200 OK\r\nContent-Length: 2\n\r\nok"));
    cr_expect(is_refused("HTTP/1.1 200 OK\rContent-Length: 2\r\n\r\nok"));
    cr_expect(is_refused("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\rxok"));
    cr_expect(is_refused("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\nok"));
  }
}

// Guards against bytes of another chunk, or none at all, in a body.
Test(response_grammar, refuses_malformed_chunks)
{
  for (const auto* chunks : { "2\r\nokxx0\r\n\r\n",
                              "2\r\nok\n0\r\n\r\n",
                              "2\rxok\r\n0\r\n\r\n",
                              "2\nok\n0\n\n",
                              "10000000000000002\r\nok\r\n0\r\n\r\n",
                              "00000000000000000000002\r\nok\r\n0\r\n\r\n",
                              "-2\r\nok\r\n0\r\n\r\n",
                              "0x2\r\nok\r\n0\r\n\r\n",
                              ";a\r\nok\r\n0\r\n\r\n",
                              "\r\nok\r\n0\r\n\r\n",
                              "2 \r\nok\r\n0\r\n\r\n",
                              "2 2\r\nok\r\n0\r\n\r\n",
                              " 2\r\nok\r\n0\r\n\r\n",
                              "2;\x01\r\nok\r\n0\r\n\r\n",
                              "2;a\nb\r\nok\r\n0\r\n\r\n",
                              "2\x80\r\nok\r\n0\r\n\r\n",
                              "2\r\nok\r\n0\r\nx\r\n\r\n" }) {
    const auto r =
      read_in_pieces(parser_kind::response, in_chunks(chunks), 1000);
    cr_expect(r.messages.empty(), "%s", chunks);
    cr_expect(r.state == parse_state::malformed, "%s", chunks);
  }
  cr_expect(body_of(in_chunks(
              "1;a=\"b\"\r\no\r\n01\r\nk\r\n0;c\r\nA: b\r\n\r\n")) == "ok");
  SECTION("but takes the blanks that a recipient must take")
  {
    cr_expect(body_of(in_chunks("2 ;a=b\r\nok\r\n0  ; c\r\n\r\n")) == "ok");
  }
}

// A server in trouble may change any byte. Guards against a body that is read
// from the changed text and differs from the server's.
Test(response_grammar, reads_what_was_written_or_refuses_it)
{
  const bool is_same =
    rc::check("what is encoded is read back equal, in pieces of any size", [] {
      const auto body = *rc::gen::arbitrary<std::string>();
      const auto piece = *rc::gen::inRange<std::size_t>(1, 80);
      const auto is_chunked = *rc::gen::arbitrary<bool>();
      const headers fields{ { "Id", "a" }, { "Load", "0.5" } };
      std::string text;
      if (is_chunked) {
        text = encode_chunked_head(200, fields);
        text += body.empty() ? "" : encode_chunk(body);
        text += last_chunk;
      } else {
        text = encode(response{ 200, fields, body });
      }
      const auto r = read_in_pieces(parser_kind::response, text + text, piece);
      RC_ASSERT(r.state == parse_state::parsing);
      RC_ASSERT(r.messages.size() == 2U);
      for (const auto& m : r.messages) {
        RC_ASSERT(m.second == body);
        RC_ASSERT(find(m.first.fields, "Id") == "a");
      }
    });
  cr_expect(is_same);
  const bool is_safe = rc::check(
    "a changed byte of the framing is refused, or changes no body", [] {
      // No other size that differs in one digit ends where a chunk does.
      const std::string first = "abc";
      const std::string second = "defghijklmnopqrstuvw";
      const std::string text = "HTTP/1.1 200 OK\r\nId: a\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n3\r\n" +
                               first + "\r\n14\r\n" + second + "\r\n0\r\n\r\n";
      const auto name_at = text.find("Transfer-Encoding");
      const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
      const auto c = *rc::gen::arbitrary<char>();
      const bool is_data =
        (at >= text.find(first) && at < text.find(first) + first.size()) ||
        (at >= text.find(second) && at < text.find(second) + second.size());
      // Under another name the field frames nothing.
      const bool is_name = at >= name_at && at < name_at + 17;
      RC_PRE(!is_data && !is_name);
      auto changed = text;
      changed[at] = c;
      const auto r = read_in_pieces(parser_kind::response, changed, 5);
      for (const auto& m : r.messages) {
        RC_ASSERT(m.second == first + second || m.first.status == 204 ||
                  m.first.status == 304);
      }
    });
  cr_expect(is_safe);
}

#include "cactusford/http/message.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <iterator>

namespace cactusford::http {

namespace {

char
lower(char c) noexcept
{
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

bool
is_framing(std::string_view name) noexcept
{
  return same_name(name, "content-length") ||
         same_name(name, "transfer-encoding");
}

bool
is_writable(const header& h) noexcept
{
  return is_token(h.name) && is_field_value(h.value) && !is_framing(h.name);
}

void
append_fields(std::string& text, const headers& fields)
{
  for (const auto& f : fields) {
    text += f.name;
    text += ": ";
    text += f.value;
    text += "\r\n";
  }
}

std::string
status_line(int status)
{
  std::string text = "HTTP/1.1 ";
  text += std::to_string(status);
  text += ' ';
  text += reason_phrase(status);
  text += "\r\n";
  return text;
}

} // namespace

bool
same_name(std::string_view a, std::string_view b) noexcept
{
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
           return lower(x) == lower(y);
         });
}

std::optional<std::string_view>
find(const headers& all, std::string_view name) noexcept
{
  for (const auto& h : all) {
    if (same_name(h.name, name)) {
      return h.value;
    }
  }
  return std::nullopt;
}

void
set(headers& all, std::string_view name, std::string_view value)
{
  remove(all, name);
  all.push_back({ std::string{ name }, std::string{ value } });
}

void
remove(headers& all, std::string_view name)
{
  std::erase_if(all, [&](const header& h) { return same_name(h.name, name); });
}

std::optional<std::uint64_t>
parse_number(std::string_view text) noexcept
{
  std::uint64_t value = 0;
  const auto* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  if (text.empty() || parsed.ec != std::errc{} || parsed.ptr != end) {
    return std::nullopt;
  }
  return value;
}

std::optional<std::uint64_t>
find_number(const headers& all, std::string_view name) noexcept
{
  const auto text = find(all, name);
  return text ? parse_number(*text) : std::nullopt;
}

bool
is_hop_by_hop(std::string_view name) noexcept
{
  constexpr std::array<std::string_view, 9> names{
    "connection", "keep-alive",        "proxy-connection",
    "te",         "transfer-encoding", "trailer",
    "upgrade",    "content-length",    "expect"
  };
  return std::any_of(names.begin(), names.end(), [&](std::string_view n) {
    return same_name(n, name);
  });
}

std::string_view
reason_phrase(int status) noexcept
{
  switch (status) {
    case 200:
      return "OK";
    case 202:
      return "Accepted";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 408:
      return "Request Timeout";
    case 413:
      return "Content Too Large";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
  }
}

bool
is_token(std::string_view text) noexcept
{
  constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
  return !text.empty() && std::all_of(text.begin(), text.end(), [&](char c) {
    const bool is_letter = lower(c) >= 'a' && lower(c) <= 'z';
    const bool is_digit = c >= '0' && c <= '9';
    return is_letter || is_digit || marks.find(c) != std::string_view::npos;
  });
}

bool
is_field_value(std::string_view text) noexcept
{
  constexpr unsigned char delete_character = 0x7f;
  // A reader strips blanks before the value.
  if (text.starts_with(' ') || text.starts_with('\t')) {
    return false;
  }
  return std::all_of(text.begin(), text.end(), [](char c) {
    const auto byte = static_cast<unsigned char>(c);
    return c == '\t' || (byte >= ' ' && byte != delete_character);
  });
}

bool
is_target(std::string_view text) noexcept
{
  return text.starts_with('/') &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return c > ' ' && c <= '~' && c != '#';
         });
}

std::optional<std::string>
unwritable_part(const request& r)
{
  if (!is_token(r.method)) {
    return "method";
  }
  if (!is_target(r.target)) {
    return "target";
  }
  for (const auto& f : r.fields) {
    if (!is_writable(f)) {
      return "header " + f.name;
    }
  }
  return std::nullopt;
}

std::string
encode_head(const request& r, std::size_t body_bytes)
{
  if (unwritable_part(r)) {
    return {};
  }
  std::string text;
  text.reserve(256);
  text += r.method;
  text += ' ';
  text += r.target;
  text += " HTTP/1.1\r\n";
  append_fields(text, r.fields);
  if (body_bytes > 0 || (r.method != "GET" && r.method != "DELETE")) {
    text += "Content-Length: " + std::to_string(body_bytes) + "\r\n";
  }
  text += "\r\n";
  return text;
}

std::string
encode(const request& r)
{
  auto text = encode_head(r, r.body.size());
  if (!text.empty()) {
    text += r.body;
  }
  return text;
}

std::string
encode(const response& r)
{
  if (!std::all_of(r.fields.begin(), r.fields.end(), is_writable)) {
    return encode(response{ 500, {}, "" });
  }
  auto text = status_line(r.status);
  text.reserve(256 + r.body.size());
  append_fields(text, r.fields);
  text += "Content-Length: " + std::to_string(r.body.size()) + "\r\n\r\n";
  text += r.body;
  return text;
}

std::string
encode_chunked_head(int status, const headers& fields)
{
  auto text = status_line(status);
  headers writable;
  std::copy_if(
    fields.begin(), fields.end(), std::back_inserter(writable), is_writable);
  append_fields(text, writable);
  text += "Transfer-Encoding: chunked\r\n\r\n";
  return text;
}

std::string
encode_chunk(std::string_view data)
{
  std::array<char, 20> size{};
  const auto end =
    std::to_chars(size.data(), size.data() + size.size(), data.size(), 16).ptr;
  std::string text{ size.data(), end };
  text += "\r\n";
  text += data;
  text += "\r\n";
  return text;
}

std::string_view
path_of(std::string_view target) noexcept
{
  return target.substr(0, target.find('?'));
}

std::optional<std::string_view>
query_value(std::string_view target, std::string_view key) noexcept
{
  const auto mark = target.find('?');
  if (mark == std::string_view::npos) {
    return std::nullopt;
  }
  auto rest = target.substr(mark + 1);
  while (!rest.empty()) {
    const auto end = std::min(rest.find('&'), rest.size());
    const auto pair = rest.substr(0, end);
    rest.remove_prefix(std::min(end + 1, rest.size()));
    const auto equals = pair.find('=');
    if (pair.substr(0, equals) == key) {
      return equals == std::string_view::npos ? std::string_view{}
                                              : pair.substr(equals + 1);
    }
  }
  return std::nullopt;
}

} // namespace cactusford::http

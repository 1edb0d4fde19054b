// HTTP/1.1 messages as values.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cactusford::http {

struct header
{
  std::string name;
  std::string value;

  friend bool operator==(const header&, const header&) = default;
};

using headers = std::vector<header>;

// Names compare without case (RFC 9110, 5.1).
bool
same_name(std::string_view a, std::string_view b) noexcept;

// The first value of that name; nothing when it is absent.
std::optional<std::string_view>
find(const headers& all, std::string_view name) noexcept;

// Replaces every header of that name by one.
void
set(headers& all, std::string_view name, std::string_view value);

void
remove(headers& all, std::string_view name);

// Whole and not negative; nothing when absent or malformed.
std::optional<std::uint64_t>
find_number(const headers& all, std::string_view name) noexcept;

std::optional<std::uint64_t>
parse_number(std::string_view text) noexcept;

// True for the headers that concern one connection only (RFC 9110, 7.6.1),
// and for those that frame a body.
bool
is_hop_by_hop(std::string_view name) noexcept;

struct request
{
  std::string method;
  std::string target;
  headers fields;
  std::string body;

  friend bool operator==(const request&, const request&) = default;
};

struct response
{
  int status = 0;
  headers fields;
  std::string body;

  friend bool operator==(const response&, const response&) = default;
};

std::string_view
reason_of(int status) noexcept;

// Wire form, with a Content-Length.
std::string
encode(const request& r);

std::string
encode(const response& r);

// Head of an answer whose body follows in chunks.
std::string
encode_chunked_head(int status, const headers& fields);

std::string
encode_chunk(std::string_view data);

constexpr std::string_view last_chunk = "0\r\n\r\n";

// Path and query of a request target, and the value of a query parameter.
std::string_view
path_of(std::string_view target) noexcept;

std::optional<std::string_view>
query_value(std::string_view target, std::string_view key) noexcept;

} // namespace cactusford::http

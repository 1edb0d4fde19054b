// HTTP/1.1 messages, their headers and their wire format.
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

// Compares header names, ignoring case (RFC 9110, 5.1).
bool
same_name(std::string_view a, std::string_view b) noexcept;

// Returns the first header of that name, or nullopt if there is none.
std::optional<std::string_view>
find(const headers& all, std::string_view name) noexcept;

// Replaces all headers of that name with a single one.
void
set(headers& all, std::string_view name, std::string_view value);

void
remove(headers& all, std::string_view name);

// Parses a header as a non-negative integer. Returns nullopt if the header is
// absent or malformed.
std::optional<std::uint64_t>
find_number(const headers& all, std::string_view name) noexcept;

// Parses a complete decimal number. Returns nullopt if the text is malformed.
std::optional<std::uint64_t>
parse_number(std::string_view text) noexcept;

// Returns true for headers that apply to a single connection (RFC 9110, 7.6.1)
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

// Returns the reason phrase of the status line.
std::string_view
reason_phrase(int status) noexcept;

// Grammar of RFC 9110 and 9112: a method or a header name, a header's value,
// and the target of a request to a server.
bool
is_token(std::string_view text) noexcept;

bool
is_field_value(std::string_view text) noexcept;

bool
is_target(std::string_view text) noexcept;

// Returns which part of a request's head would not be read back as it is, such
// as "target" or "header A", or nullopt if there is none. Headers that frame
// the body are such parts, as `encode` writes them.
std::optional<std::string>
unwritable_part(const request& r);

// Serialises a message. Adds Content-Length, except to a GET or DELETE request
// without a body. Returns an empty string if a part of the head is unwritable:
// it would be read as further headers or as another message.
std::string
encode(const request& r);

// The same without the body, for one that is sent from where it is kept.
std::string
encode_head(const request& r, std::size_t body_bytes);

// A response with an unwritable header is written as one with status 500.
std::string
encode(const response& r);

// Serialises the head of a response whose body follows in chunks. Unwritable
// headers are left out.
std::string
encode_chunked_head(int status, const headers& fields);

std::string
encode_chunk(std::string_view data);

constexpr std::string_view last_chunk = "0\r\n\r\n";

// Returns the path of a request target without its query.
std::string_view
path_of(std::string_view target) noexcept;

// Returns the value of a query parameter, or nullopt if it is absent.
std::optional<std::string_view>
query_value(std::string_view target, std::string_view key) noexcept;

} // namespace cactusford::http

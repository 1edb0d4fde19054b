#include "cactusford/store/salvage.h"

#include "cactusford/store/fields.h"

#include <nlohmann/json.hpp>
#include <utf8.h>

#include <algorithm>
#include <cctype>
#include <cstdint>
#include <iterator>
#include <optional>

namespace cactusford::store {

namespace {

constexpr std::string_view punctuation = "{}[]:,\" \t\r\n";
constexpr unsigned char first_printable = 0x20;

// The mark as a JSON string and as a code point.
constexpr std::string_view mark_string = "\"\xef\xb7\x90\"";
constexpr std::uint32_t mark_code_point = 0xfdd0;

// An escape is a backslash and a letter; for code units, `u` and four digits.
constexpr std::size_t short_escape = 2;
constexpr std::size_t unit_escape = 6;

// Returns the UTF-16 code unit of the escape at `at`, if there is one.
std::optional<std::uint32_t>
code_unit(std::string_view text, std::size_t at)
{
  const auto escape = text.substr(std::min(at, text.size()), unit_escape);
  if (escape.size() < unit_escape || !escape.starts_with("\\u")) {
    return std::nullopt;
  }
  std::uint32_t unit = 0;
  for (const char c : escape.substr(short_escape)) {
    if (std::isxdigit(static_cast<unsigned char>(c)) == 0) {
      return std::nullopt;
    }
    constexpr std::uint32_t base = 16;
    const auto digit = c <= '9' ? c - '0' : (c | 0x20) - 'a' + 10;
    unit = unit * base + static_cast<std::uint32_t>(digit);
  }
  return unit;
}

bool
is_high_surrogate(std::uint32_t unit)
{
  return unit >= 0xd800 && unit < 0xdc00;
}

bool
is_low_surrogate(std::uint32_t unit)
{
  return unit >= 0xdc00 && unit < 0xe000;
}

// The length of an escape sequence, and whether it is valid.
struct escape_extent
{
  std::size_t length = short_escape;
  bool is_valid = false;
};

escape_extent
escape_at(std::string_view text, std::size_t at)
{
  const auto first = code_unit(text, at);
  if (!first) {
    const char letter = at + 1 < text.size() ? text[at + 1] : '\0';
    constexpr std::string_view letters = "\"\\/bfnrt";
    return { short_escape, letters.find(letter) != std::string_view::npos };
  }
  if (is_high_surrogate(*first)) {
    const auto second = code_unit(text, at + unit_escape);
    const bool is_pair = second && is_low_surrogate(*second);
    return { is_pair ? 2 * unit_escape : unit_escape, is_pair };
  }
  return { unit_escape, !is_low_surrogate(*first) };
}

// Copies the string that starts with the quote at `at`; returns the position
// after it.
std::size_t
copy_string(std::string_view text, std::size_t at, std::string& to)
{
  to += text[at++];
  while (at < text.size()) {
    const char c = text[at];
    if (c == '\\') {
      const auto escape = escape_at(text, at);
      to += escape.is_valid ? text.substr(at, escape.length) : unreadable_mark;
      at += escape.length;
      continue;
    }
    const bool is_control = static_cast<unsigned char>(c) < first_printable;
    to += is_control ? unreadable_mark : text.substr(at, 1);
    ++at;
    if (c == '"') {
      break;
    }
  }
  return std::min(at, text.size());
}

// Copies the number or word that starts at `at`; returns the position after it.
std::size_t
copy_word(std::string_view text, std::size_t at, std::string& to)
{
  const auto end = std::min(text.find_first_of(punctuation, at), text.size());
  const auto word = text.substr(at, end - at);
  if (nlohmann::json::accept(word)) {
    to += word;
  } else {
    to += mark_string;
  }
  return end;
}

// Returns the position after the string that starts with the quote at `at`.
std::size_t
skip_string(std::string_view text, std::size_t at)
{
  for (++at; at < text.size() && text[at] != '"'; ++at) {
    at += text[at] == '\\' ? 1 : 0;
  }
  return std::min(at + 1, text.size());
}

void
copy_element(std::string_view element, std::string& to)
{
  constexpr std::string_view whitespace = " \t\r\n";
  const bool is_empty =
    element.find_first_not_of(whitespace) == std::string_view::npos;
  if (is_empty || !parse_message(element).is_discarded()) {
    to += element;
    return;
  }
  to += mark_string;
}

} // namespace

std::string
mark_unreadable(std::string_view text)
{
  std::string valid;
  utf8::replace_invalid(
    text.begin(), text.end(), std::back_inserter(valid), mark_code_point);
  std::string marked;
  marked.reserve(valid.size());
  const std::string_view input = valid;
  std::size_t at = 0;
  while (at < input.size()) {
    if (input[at] == '"') {
      at = copy_string(input, at, marked);
    } else if (punctuation.find(input[at]) != std::string_view::npos) {
      marked += input[at++];
    } else {
      at = copy_word(input, at, marked);
    }
  }
  return marked;
}

std::string
replace_deep_values(std::string_view text)
{
  std::string cut;
  cut.reserve(text.size());
  std::size_t depth = 0;
  std::size_t at = 0;
  while (at < text.size()) {
    const char c = text[at];
    const auto end = c == '"' ? skip_string(text, at) : at + 1;
    const bool opens = c == '{' || c == '[';
    const bool closes = (c == '}' || c == ']') && depth > 0;
    depth += opens ? 1 : 0;
    if (depth <= max_nesting_depth) {
      cut += text.substr(at, end - at);
    } else if (opens && depth == max_nesting_depth + 1) {
      cut += mark_string;
    }
    depth -= closes ? 1 : 0;
    at = end;
  }
  return cut;
}

std::string
replace_unreadable_elements(std::string_view text)
{
  // Nesting depths inside the outermost object and inside an array in it.
  constexpr std::size_t in_object = 1;
  constexpr std::size_t in_list = 2;
  std::string cut;
  cut.reserve(text.size());
  std::size_t depth = 0;
  bool is_list = false;
  // Start of the current element, or of the current section outside all arrays.
  std::size_t begin = 0;
  std::size_t at = 0;
  while (at < text.size()) {
    const char c = text[at];
    if (c == '"') {
      at = skip_string(text, at);
      continue;
    }
    const bool opens = c == '{' || c == '[';
    const bool closes = c == '}' || c == ']';
    const bool ends_element =
      is_list && depth == in_list && (c == ',' || closes);
    const bool begins_list = c == '[' && depth == in_object;
    if (ends_element) {
      copy_element(text.substr(begin, at - begin), cut);
      begin = at;
    }
    depth += opens ? 1 : 0;
    depth -= closes && depth > 0 ? 1 : 0;
    ++at;
    if (begins_list || (ends_element && c == ',')) {
      cut += text.substr(begin, at - begin);
      begin = at;
    }
    is_list = begins_list || (is_list && depth >= in_list);
  }
  cut += text.substr(begin);
  return cut;
}

} // namespace cactusford::store

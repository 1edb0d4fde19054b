#include "cactusford/store/fields.h"

#include "cactusford/store/salvage.h"

#include <algorithm>

namespace cactusford::store {

namespace {

using nlohmann::json;

[[noreturn]] void
fail(const char* key, const char* expected, const json& got)
{
  throw field_error{
    { key, std::string{ expected } + " expected, got " + got.type_name() }
  };
}

} // namespace

field_error::field_error(decode_error f)
  : fault_{ std::move(f) }
{
}

const json&
field(const json& j, const char* key)
{
  if (!j.is_object()) {
    fail(key, "an enclosing object", j);
  }
  const auto found = j.find(key);
  if (found == j.end()) {
    throw field_error{ { key, "missing" } };
  }
  return *found;
}

const std::string&
string_field(const json& j, const char* key)
{
  const auto& value = field(j, key);
  if (!value.is_string()) {
    fail(key, "a string", value);
  }
  return value.get_ref<const std::string&>();
}

std::uint64_t
uint_field(const json& j, const char* key)
{
  const auto& value = field(j, key);
  const bool is_whole =
    value.is_number_unsigned() ||
    (value.is_number_integer() && value.get<std::int64_t>() >= 0);
  if (!is_whole) {
    fail(key, "a non-negative integer", value);
  }
  return value.get<std::uint64_t>();
}

bool
bool_field(const json& j, const char* key)
{
  const auto& value = field(j, key);
  if (!value.is_boolean()) {
    fail(key, "true or false", value);
  }
  return value.get<bool>();
}

double
number_field(const json& j, const char* key)
{
  // 2^53: larger integers cannot all be represented exactly as double.
  constexpr double max_exact_integer = 9007199254740992.0;
  const auto& value = field(j, key);
  const auto amount = value.is_number() ? value.get<double>() : -1;
  if (!(amount >= 0 && amount <= max_exact_integer)) {
    fail(key, "a non-negative number", value);
  }
  return amount;
}

const json&
array_field(const json& j, const char* key)
{
  const auto& value = field(j, key);
  if (!value.is_array()) {
    fail(key, "an array", value);
  }
  return value;
}

bool
has_field(const json& j, const char* key)
{
  const auto found = j.find(key);
  return found != j.end() && !found->is_null();
}

std::string
string_field_or(const json& j, const char* key, std::string_view otherwise)
{
  return has_field(j, key) ? string_field(j, key) : std::string{ otherwise };
}

std::uint64_t
uint_field_or(const json& j, const char* key, std::uint64_t otherwise)
{
  return has_field(j, key) ? uint_field(j, key) : otherwise;
}

bool
bool_field_or(const json& j, const char* key, bool otherwise)
{
  return has_field(j, key) ? bool_field(j, key) : otherwise;
}

double
number_field_or(const json& j, const char* key, double otherwise)
{
  return has_field(j, key) ? number_field(j, key) : otherwise;
}

std::vector<std::uint64_t>
uint_array_field(const json& j, const char* key)
{
  std::vector<std::uint64_t> values;
  for (const auto& value : array_field(j, key)) {
    const json wrapped{ { key, value } };
    values.push_back(uint_field(wrapped, key));
  }
  return values;
}

// A single pass over the bytes. A parser callback at each level would double
// the cost of parsing.
message_shape
shape_of(std::string_view text)
{
  message_shape shape{ 0, 1 };
  std::size_t depth = 0;
  bool in_text = false;
  for (std::size_t at = 0; at < text.size(); ++at) {
    const char c = text[at];
    if (in_text) {
      at += c == '\\' ? 1 : 0;
      in_text = c != '"';
      continue;
    }
    in_text = c == '"';
    if (c == '{' || c == '[') {
      ++depth;
      ++shape.values;
      shape.depth = std::max(shape.depth, depth);
    } else if ((c == '}' || c == ']') && depth > 0) {
      --depth;
    } else if (c == ',' || c == ':') {
      ++shape.values;
    }
    if (depth > max_nesting_depth) {
      break;
    }
  }
  return shape;
}

json
parse_message(std::string_view text)
{
  return shape_of(text).depth > max_nesting_depth
           ? json(json::value_t::discarded)
           : json::parse(text, nullptr, false);
}

repaired_message
parse_leniently(std::string_view text)
{
  auto j = parse_message(text);
  if (!j.is_discarded()) {
    return { std::move(j), false };
  }
  const auto marked = mark_unreadable(text);
  j = parse_message(marked);
  if (j.is_discarded()) {
    j = parse_message(replace_deep_values(marked));
  }
  if (j.is_discarded()) {
    j = parse_message(replace_unreadable_elements(marked));
  }
  return { std::move(j), true };
}

bool
contains_unreadable(const json& j)
{
  const auto is_marked = [](const std::string& text) {
    return text.find(unreadable_mark) != std::string::npos;
  };
  if (j.is_string()) {
    return is_marked(j.get_ref<const std::string&>());
  }
  if (j.is_object()) {
    return std::any_of(j.items().begin(), j.items().end(), [&](const auto& e) {
      return is_marked(e.key()) || contains_unreadable(e.value());
    });
  }
  return j.is_array() && std::any_of(j.begin(), j.end(), [](const json& v) {
           return contains_unreadable(v);
         });
}

} // namespace cactusford::store

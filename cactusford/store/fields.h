// Type-checked access to fields of JSON that another process wrote: objects of
// the store, reports, messages of peers.
//
// The input is not trusted. A negative version read as a large unsigned number
// would make its engine the newest of all, and an exception for one object
// would lose the other objects in the same response.
#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <exception>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cactusford::store {

// The field that could not be decoded, and the reason.
struct decode_error
{
  std::string field;
  std::string what;

  friend bool operator==(const decode_error&, const decode_error&) = default;
};

// Thrown by the functions below, caught by `try_decode`.
class field_error : public std::exception
{
public:
  explicit field_error(decode_error f);
  const char* what() const noexcept override { return fault_.what.c_str(); }
  const decode_error& fault() const noexcept { return fault_; }

private:
  decode_error fault_;
};

// A decoded value, or the reason why decoding failed.
template<typename T>
struct decoded : std::optional<T>
{
  using std::optional<T>::optional;

  decode_error fault;
};

// Returns the field's value. Throws `field_error` if the field is missing or
// has another type, as do all functions below.
const nlohmann::json&
field(const nlohmann::json& j, const char* key);

const std::string&
string_field(const nlohmann::json& j, const char* key);

// Requires a non-negative integer; 3.0, true and "3" are errors.
std::uint64_t
uint_field(const nlohmann::json& j, const char* key);

bool
bool_field(const nlohmann::json& j, const char* key);

// Requires a non-negative number; fractions are allowed.
double
number_field(const nlohmann::json& j, const char* key);

const nlohmann::json&
array_field(const nlohmann::json& j, const char* key);

// Returns true if the field is present; null counts as absent.
bool
has_field(const nlohmann::json& j, const char* key);

// Variants for optional fields: they return `otherwise` if the field is absent.
// A field of the wrong type is still an error.
std::string
string_field_or(const nlohmann::json& j,
                const char* key,
                std::string_view otherwise);

std::uint64_t
uint_field_or(const nlohmann::json& j,
              const char* key,
              std::uint64_t otherwise);

bool
bool_field_or(const nlohmann::json& j, const char* key, bool otherwise);

double
number_field_or(const nlohmann::json& j, const char* key, double otherwise);

// Returns an array of non-negative integers.
std::vector<std::uint64_t>
uint_array_field(const nlohmann::json& j, const char* key);

// Runs a decoder that uses the functions above and turns their exceptions into
// an error value.
template<typename F>
auto
try_decode(F decode) -> decoded<decltype(decode())>
{
  decoded<decltype(decode())> d;
  try {
    d.emplace(decode());
  } catch (const field_error& e) {
    d.fault = e.fault();
  } catch (const nlohmann::json::exception& e) {
    d.fault = { "", e.what() };
  }
  return d;
}

// Limit for arrays and objects nested inside each other. Valid messages have a
// handful of levels. Recursive code, such as the serializer, needs stack for
// each level, and a megabyte of opening brackets would crash the process.
constexpr std::size_t max_nesting_depth = 64;

struct message_shape
{
  // Arrays and objects nested inside each other, at most one more than
  // `max_nesting_depth`: what follows is not counted then.
  std::size_t depth = 0;
  // Upper bound on the values and names in the text.
  std::size_t values = 0;

  friend bool operator==(const message_shape&, const message_shape&) = default;
};

// Measures a text without parsing it. The text need not be valid.
message_shape
shape_of(std::string_view text);

// Returns a discarded value if the text is not valid JSON, or is nested too
// deeply.
nlohmann::json
parse_message(std::string_view text);

struct repaired_message
{
  // Discarded if the text could not be repaired.
  nlohmann::json value;
  bool was_repaired = false;
};

// Parses a message that may contain invalid parts. These are replaced by
// `unreadable_mark`, so that the rest of the message can be used (see
// `store/salvage.h`).
repaired_message
parse_leniently(std::string_view text);

// Replaces bytes that could not be read. It is the code point U+FDD0, a Unicode
// noncharacter, which does not occur in valid text.
constexpr std::string_view unreadable_mark = "\xef\xb7\x90";

// Returns true if any string in the value contains `unreadable_mark`.
bool
contains_unreadable(const nlohmann::json& j);

} // namespace cactusford::store

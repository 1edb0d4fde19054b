// Strictly typed fields of what another process wrote: objects of the store,
// reports, messages of peers.
//
// Anybody may write to the store. A negative version that is read as a large
// one would make its engine the newest of all, and an exception for one object
// would lose the others that came with it.
#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <exception>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cactusford::store {

// Why a message could not be read: the field, and what is wrong with it.
struct shape_fault
{
  std::string field;
  std::string what;

  friend bool operator==(const shape_fault&, const shape_fault&) = default;
};

// Thrown by the functions below, caught by `read_shape`.
class field_error : public std::exception
{
public:
  explicit field_error(shape_fault f);
  const char* what() const noexcept override { return fault_.what.c_str(); }
  const shape_fault& fault() const noexcept { return fault_; }

private:
  shape_fault fault_;
};

// A value, or why there is none.
template<typename T>
struct decoded : std::optional<T>
{
  using std::optional<T>::optional;

  shape_fault fault;
};

// The field's value; `field_error` when it is missing or of another type.
const nlohmann::json&
field(const nlohmann::json& j, const char* key);

const std::string&
text_field(const nlohmann::json& j, const char* key);

// Whole and not negative: 3.0, true and "3" are none.
std::uint64_t
whole_field(const nlohmann::json& j, const char* key);

bool
flag_field(const nlohmann::json& j, const char* key);

// Not negative, fractions included.
double
amount_field(const nlohmann::json& j, const char* key);

const nlohmann::json&
list_field(const nlohmann::json& j, const char* key);

// True when the field is there; null counts as absent.
bool
has_field(const nlohmann::json& j, const char* key);

// The same for fields that may be absent; one of another type is an error all
// the same.
std::string
text_field_or(const nlohmann::json& j,
              const char* key,
              std::string_view otherwise);

std::uint64_t
whole_field_or(const nlohmann::json& j,
               const char* key,
               std::uint64_t otherwise);

bool
flag_field_or(const nlohmann::json& j, const char* key, bool otherwise);

double
amount_field_or(const nlohmann::json& j, const char* key, double otherwise);

// Whole numbers only.
std::vector<std::uint64_t>
wholes_field(const nlohmann::json& j, const char* key);

// Runs a decoder that uses the functions above.
template<typename F>
auto
read_shape(F decode) -> decoded<decltype(decode())>
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

// Lists and objects inside each other. Messages have a handful; what goes
// through a value recursively, as its output does, needs stack for each, and a
// megabyte of opening brackets would end the process.
constexpr std::size_t deepest_nesting = 64;

// Discarded when it is no JSON, or nested deeper than that.
nlohmann::json
parse_message(std::string_view text);

struct marked_message
{
  // Discarded when it is no JSON all the same.
  nlohmann::json value;
  bool has_marks = false;
};

// Parses a message of which parts can't be read: these are replaced by
// `unreadable_mark`, so that the rest can be used (`store/salvage.h`).
marked_message
parse_marked(std::string_view text);

// Stands for bytes that could not be read; no text holds it otherwise, as it is
// a code point that is kept free for such use (U+FDD0).
constexpr std::string_view unreadable_mark = "\xef\xb7\x90";

// True when some text in it holds the mark.
bool
holds_unreadable(const nlohmann::json& j);

} // namespace cactusford::store

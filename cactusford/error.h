// Error kinds of the project, with their remedies and HTTP statuses.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>

namespace cactusford {

// Kinds of errors, distinguished by how a caller, trainer or operator can
// react.
enum class error_kind
{
  none = 0,
  bad_request,
  too_large,
  not_found,
  conflict,
  not_ready,
  no_backend,
  overloaded,
  leaving,
  deadline_exceeded,
  record_full,
  not_home,
  cancelled,
  stale_version,
  outcome_unknown,
  stream_cut,
  backend_failed,
  fenced,
  not_owner,
  platform_unavailable,
  platform_stale,
  settings_invalid,
  unauthorized,
};

const std::error_category&
error_category() noexcept;

std::error_code
make_error_code(error_kind kind) noexcept;

// Returns the stable name used on the wire and in logs, such as
// "outcome_unknown".
std::string_view
name_of(error_kind kind) noexcept;

// Returns the kind of that name. An unknown name gives `outcome_unknown`, the
// kind with the weakest guarantee.
error_kind
error_kind_from(std::string_view name) noexcept;

// Returns what the recipient of the error can do about it.
std::string_view
remedy_of(error_kind kind) noexcept;

// Returns true if the error guarantees that the request was not run.
bool
is_not_run(error_kind kind) noexcept;

// Returns the HTTP status of the response to a caller.
int
http_status_of(error_kind kind) noexcept;

// An error with its detail. `retry_after_ms` is 0 if a retry does not help.
struct failure
{
  error_kind kind = error_kind::none;
  std::string detail;
  std::uint32_t retry_after_ms = 0;

  explicit operator bool() const noexcept { return kind != error_kind::none; }
  friend bool operator==(const failure&, const failure&) = default;
};

// A value or an error.
template<typename T>
struct result
{
  T value{};
  failure error;

  explicit operator bool() const noexcept { return !error; }
};

// Formats an error as "kind: detail; remedy".
std::string
message_of(const failure& f);

} // namespace cactusford

template<>
struct std::is_error_code_enum<cactusford::error_kind> : std::true_type
{
};

#include "cactusford/error.h"

#include <algorithm>
#include <array>

namespace cactusford {

namespace {

struct entry
{
  error_kind kind;
  std::string_view name;
  std::string_view remedy;
  bool not_run;
  int http_status;
};

constexpr std::array entries{
  entry{ error_kind::none, "none", "nothing to do", false, 200 },
  entry{ error_kind::bad_request,
         "bad_request",
         "correct the named field and send it again",
         true,
         400 },
  entry{ error_kind::too_large,
         "too_large",
         "send less than the named limit",
         true,
         413 },
  entry{ error_kind::not_found,
         "not_found",
         "apply the missing declaration or correct the name",
         true,
         404 },
  entry{ error_kind::conflict,
         "conflict",
         "read the newer version with 'cactusford get' and apply again",
         true,
         409 },
  entry{ error_kind::not_ready,
         "not_ready",
         "wait for /readyz of this instance or use another one",
         true,
         503 },
  entry{ error_kind::no_backend,
         "no_backend",
         "retry later; start backend servers for this pool",
         true,
         503 },
  entry{ error_kind::overloaded,
         "overloaded",
         "retry after the stated time",
         true,
         429 },
  entry{ error_kind::leaving,
         "leaving",
         "retry: another instance takes the request",
         true,
         503 },
  entry{ error_kind::deadline_exceeded,
         "deadline_exceeded",
         "retry with a longer deadline",
         true,
         504 },
  entry{ error_kind::record_full,
         "record_full",
         "retry after the stated time; raise record_limit",
         true,
         503 },
  entry{ error_kind::not_home,
         "not_home",
         "retry: the home of this key has changed",
         true,
         503 },
  entry{ error_kind::cancelled,
         "cancelled",
         "nothing to do: the caller gave up",
         false,
         499 },
  entry{ error_kind::stale_version,
         "stale_version",
         "retry once the backend server holds the wanted weights",
         true,
         503 },
  entry{ error_kind::outcome_unknown,
         "outcome_unknown",
         "it may have run: check with the service before sending it again "
         "under a new key",
         false,
         502 },
  entry{ error_kind::stream_cut,
         "stream_cut",
         "the answer is not whole: send the request again",
         false,
         502 },
  entry{ error_kind::backend_failed,
         "backend_failed",
         "see the log of the backend server; retry if idempotent",
         false,
         502 },
  entry{ error_kind::fenced,
         "fenced",
         "stop: a newer owner has taken over",
         true,
         409 },
  entry{ error_kind::not_owner,
         "not_owner",
         "retry: the owner of this trainer is changing",
         true,
         503 },
  entry{ error_kind::platform_unavailable,
         "platform_unavailable",
         "retry later: the platform's object API does not answer",
         false,
         503 },
  entry{ error_kind::platform_stale,
         "platform_stale",
         "alarm: the platform answered with an older version",
         false,
         503 },
  entry{ error_kind::settings_invalid,
         "settings_invalid",
         "correct the named key and start again",
         true,
         400 },
  entry{ error_kind::unauthorized,
         "unauthorized",
         "use a certificate with the role that this port asks for",
         true,
         403 },
};

const entry&
entry_of(error_kind kind) noexcept
{
  return entries[static_cast<std::size_t>(kind)];
}

class category : public std::error_category
{
public:
  const char* name() const noexcept override { return "cactusford"; }
  std::string message(int value) const override
  {
    const auto& e = entry_of(static_cast<error_kind>(value));
    return std::string{ e.name } + "; " + std::string{ e.remedy };
  }
};

} // namespace

const std::error_category&
error_category() noexcept
{
  static const category instance;
  return instance;
}

std::error_code
make_error_code(error_kind kind) noexcept
{
  return { static_cast<int>(kind), error_category() };
}

std::string_view
name_of(error_kind kind) noexcept
{
  return entry_of(kind).name;
}

error_kind
error_kind_from(std::string_view name) noexcept
{
  const auto* found = std::find_if(
    entries.begin(), entries.end(), [&](auto& e) { return e.name == name; });
  return found == entries.end() ? error_kind::outcome_unknown : found->kind;
}

std::string_view
remedy_of(error_kind kind) noexcept
{
  return entry_of(kind).remedy;
}

bool
is_not_run(error_kind kind) noexcept
{
  return entry_of(kind).not_run;
}

int
http_status_of(error_kind kind) noexcept
{
  return entry_of(kind).http_status;
}

std::string
message_of(const failure& f)
{
  auto text = std::string{ name_of(f.kind) };
  if (!f.detail.empty()) {
    text += ": " + f.detail;
  }
  return text + "; " + std::string{ remedy_of(f.kind) };
}

} // namespace cactusford

#include "cactusford/batches/submission_check.h"

namespace cactusford::batches {

namespace {

// Ids and hosts are values of headers.
bool
is_name(const std::string& text)
{
  return !text.empty() && http::is_field_value(text);
}

} // namespace

bool
is_batch_id(const std::string& id)
{
  return http::is_target("/" + id) &&
         id.find_first_of("/?") == std::string::npos && !id.empty() &&
         id != "." && id != "..";
}

std::optional<std::string>
invalid_part(const item& i)
{
  if (!is_name(i.id)) {
    return "id";
  }
  if (!http::is_target(i.path)) {
    return "path";
  }
  for (const auto& h : i.fields) {
    if (!http::is_token(h.name) || !http::is_field_value(h.value)) {
      return "header " + h.name;
    }
  }
  if (!i.scorer) {
    return std::nullopt;
  }
  if (!is_name(i.scorer->id)) {
    return "scorer's id";
  }
  if (!is_name(i.scorer->host)) {
    return "scorer's host";
  }
  if (!http::is_target(i.scorer->path)) {
    return "scorer's path";
  }
  return std::nullopt;
}

std::optional<std::string>
invalid_part(const submission& s)
{
  for (const auto& i : s.items) {
    if (const auto part = invalid_part(i)) {
      return "item " + i.id + ": " + *part;
    }
  }
  return std::nullopt;
}

} // namespace cactusford::batches

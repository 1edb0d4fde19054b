#include "cactusford/operators/files.h"

#include "cactusford/configuration/declaration.h"
#include "cactusford/settings/settings.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <filesystem>

namespace cactusford::operators {

namespace {

namespace fs = std::filesystem;
using nlohmann::json;

std::size_t
apply_order(const std::string& kind)
{
  const auto& kinds = configuration::declared_kinds();
  return static_cast<std::size_t>(std::find(kinds.begin(), kinds.end(), kind) -
                                  kinds.begin());
}

result<declaration_file>
read_declaration(const std::string& file)
{
  const auto invalid = [&](const std::string& message) {
    return result<declaration_file>{
      {}, { error_kind::bad_request, file + ": " + message }
    };
  };
  const auto text = settings::read_file(file);
  if (!text) {
    return invalid("cannot read file");
  }
  const auto j = json::parse(text.value, nullptr, false, true);
  if (!j.is_object()) {
    return invalid("not a JSON object");
  }
  for (const auto* key : { "kind", "name" }) {
    if (!j.contains(key) || !j[key].is_string()) {
      return invalid(std::string{ "key " } + key + " must be a string");
    }
  }
  if (!j.contains("spec")) {
    return invalid("missing key spec");
  }
  declaration_file d{ j["kind"], j["name"], j["spec"].dump(), file };
  if (const auto f = configuration::check_declaration(d.kind, d.name, d.spec)) {
    return invalid(f.detail);
  }
  return { std::move(d), {} };
}

} // namespace

result<std::vector<declaration_file>>
read_declarations(const std::string& path)
{
  std::vector<std::string> files;
  std::error_code ec;
  if (fs::is_directory(path, ec)) {
    for (const auto& f : fs::recursive_directory_iterator{ path, ec }) {
      if (f.path().extension() == ".json") {
        files.push_back(f.path().string());
      }
    }
  } else {
    files.push_back(path);
  }
  std::sort(files.begin(), files.end());
  std::vector<declaration_file> all;
  for (const auto& file : files) {
    auto declaration = read_declaration(file);
    if (!declaration) {
      return { {}, declaration.error };
    }
    all.push_back(std::move(declaration.value));
  }
  std::stable_sort(all.begin(), all.end(), [](const auto& a, const auto& b) {
    return apply_order(a.kind) < apply_order(b.kind);
  });
  return { std::move(all), {} };
}

} // namespace cactusford::operators

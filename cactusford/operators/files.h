// Declarations in files: one JSON object {"kind", "name", "spec"} each.
#pragma once

#include "cactusford/error.h"

#include <string>
#include <vector>

namespace cactusford::operators {

struct declared
{
  std::string kind;
  std::string name;
  // JSON text.
  std::string spec;
  std::string file;

  friend bool operator==(const declared&, const declared&) = default;
};

// A file, or all *.json below a folder, in the order in which they apply:
// pools and services before jobs. All are checked before any is applied.
result<std::vector<declared>>
read_declarations(const std::string& path);

} // namespace cactusford::operators

// Reads declarations from files. Each file has one JSON object {"kind", "name",
// "spec"}.
#pragma once

#include "cactusford/error.h"

#include <string>
#include <vector>

namespace cactusford::operators {

struct declaration_file
{
  std::string kind;
  std::string name;
  // JSON text.
  std::string spec;
  std::string file;

  friend bool operator==(const declaration_file&,
                         const declaration_file&) = default;
};

// Reads a file, or all *.json files below a folder. Returns the declarations in
// the order in which they must be applied: pools and services before jobs.
// Checks all of them, so that none is applied if one is invalid.
result<std::vector<declaration_file>>
read_declarations(const std::string& path);

} // namespace cactusford::operators

// Nested sections for Criterion tests. Each prints its name when it starts, so
// that the output shows which part of a test ran.
#pragma once

#include <cstdio>
#include <string>

namespace cactusford::testing {

class section
{
public:
  explicit section(const char* name)
  {
    std::printf("%s%s\n", std::string(2UL * depth(), ' ').c_str(), name);
    std::fflush(stdout);
    ++depth();
  }
  ~section() { --depth(); }
  section(const section&) = delete;
  section& operator=(const section&) = delete;
  explicit operator bool() const { return true; }

private:
  static int& depth()
  {
    static int value = 1;
    return value;
  }
};

} // namespace cactusford::testing

// Usage: SECTION("the behaviour that is checked") { ... }
#define SECTION(name)                                                          \
  if (const ::cactusford::testing::section section_guard{ name }; section_guard)

// Batches of items for a trainer, and their results. Values only.
#pragma once

#include "cactusford/http/message.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cactusford::batches {

// The call that scores an item's text.
struct scorer_call
{
  std::string id;
  std::string host;
  std::string path;
  std::string body;

  friend bool operator==(const scorer_call&, const scorer_call&) = default;
};

struct item
{
  std::string id;
  std::string path;
  http::headers fields;
  std::string body;
  // Items of a group share their prompt and count only together.
  std::string group;
  // The caller's estimate of the tokens to come, right at the median; 0: none.
  std::uint64_t length_hint = 0;
  std::optional<scorer_call> scorer;

  friend bool operator==(const item&, const item&) = default;
};

struct submission
{
  std::string model;
  std::uint64_t step = 0;
  // The oldest weight version that may make the text.
  std::uint64_t min_version = 0;
  // Whole groups that the trainer waits for.
  std::uint64_t desired_groups = 0;
  std::vector<item> items;

  friend bool operator==(const submission&, const submission&) = default;
};

struct item_result
{
  std::string id;
  // False: given up, without text.
  bool done = false;
  std::string text;
  // Weight versions that made the text.
  std::vector<std::uint64_t> versions;
  std::string score;

  friend bool operator==(const item_result&, const item_result&) = default;
};

// What a reader gets: the results from a position onward.
struct result_page
{
  std::uint64_t total = 0;
  std::uint64_t next = 0;
  std::vector<item_result> results;

  friend bool operator==(const result_page&, const result_page&) = default;
};

// What the store holds of a batch under `batches/ID`: small, as every entry
// follows this kind. The submission stands in parts of its own and is read by
// those alone who run the batch or are asked for a body. The specification is
// written once, after all parts; the status changes with the owner and at the
// end.
struct stored_batch
{
  std::string id;
  std::uint64_t revision = 0;
  std::string host;
  std::string target;
  // Whose it is; empty: of a public route, or none are declared.
  std::string workspace;
  std::uint64_t accepted_wall_ms = 0;
  // How many items it has, and in how many parts its submission stands.
  std::uint64_t items = 0;
  std::uint64_t parts = 0;
  std::string owner;
  std::string owner_address;
  // The owner's share of a core.
  double owner_capacity = 0;
  bool ended = false;

  friend bool operator==(const stored_batch&, const stored_batch&) = default;
};

} // namespace cactusford::batches

// Value types for batches of items that a trainer submits, and for their
// results.
#pragma once

#include "cactusford/http/message.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cactusford::batches {

// The HTTP call that scores an item's text.
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
  // Items of a group share a prompt. A trainer can use a group only when all of
  // its items are done.
  std::string group;
  // The caller's estimate of the number of tokens to generate. It is accurate
  // only at the median. 0: no estimate.
  std::uint64_t length_hint = 0;
  std::optional<scorer_call> scorer;

  friend bool operator==(const item&, const item&) = default;
};

struct submission
{
  std::string model;
  std::uint64_t step = 0;
  // The oldest weight version that may generate the text.
  std::uint64_t min_version = 0;
  // Number of complete groups that the trainer waits for.
  std::uint64_t desired_groups = 0;
  std::vector<item> items;

  friend bool operator==(const submission&, const submission&) = default;
};

struct item_result
{
  std::string id;
  // False if the item was given up; the result then has no text.
  bool done = false;
  std::string text;
  // Weight versions that generated the text.
  std::vector<std::uint64_t> versions;
  std::string score;

  friend bool operator==(const item_result&, const item_result&) = default;
};

// A page of results, starting at the position that the reader asked for.
struct result_page
{
  std::uint64_t total = 0;
  std::uint64_t next = 0;
  std::vector<item_result> results;

  friend bool operator==(const result_page&, const result_page&) = default;
};

// The object stored under `batches/ID`. It is small, because every entry
// watches this kind. The submission is stored separately in parts, which are
// read only by the owner of the batch or to return an item's body. The spec is
// written once, after all parts; the status changes when the owner changes and
// when the batch ends.
struct stored_batch
{
  std::string id;
  std::uint64_t revision = 0;
  std::string host;
  std::string target;
  // The workspace that the batch belongs to. Empty if the route is public or no
  // workspaces are declared.
  std::string workspace;
  std::uint64_t accepted_wall_ms = 0;
  // Data centre of the entry that accepted the batch from its caller. Empty in
  // objects of earlier versions.
  std::string accepted_in;
  // Number of items, and number of parts in which the submission is stored.
  std::uint64_t items = 0;
  std::uint64_t parts = 0;
  std::string owner;
  std::string owner_address;
  // The owner's CPU share, in cores.
  double owner_capacity = 0;
  // Empty if the owner has not written it.
  std::string owner_data_centre;
  bool ended = false;

  friend bool operator==(const stored_batch&, const stored_batch&) = default;
};

} // namespace cactusford::batches

// Batches that entries accept, run, hand over and show.
#include "cactusford/testing/section.h"
#include "tests/batches_world.h"

using namespace cactusford;
using namespace cactusford::testing;

namespace {

// A batch that has ended, of an owner that is gone, with a result in each
// chunk.
void
put_ended_batch(world& w, std::size_t chunks)
{
  batches::stored_batch b;
  b.host = "h";
  b.target = "/b/";
  b.items = chunks;
  b.parts = 1;
  b.owner = "gone";
  b.owner_address = "127.0.0.1:9";
  auto spec = batches::encode_spec(b);
  w.store.put("batches", std::string{ batch_id }, spec);
  for (std::size_t i = 0; i < chunks; ++i) {
    const batches::item_result r{
      "item" + std::to_string(i), true, "t", {}, ""
    };
    w.store.put("results",
                batches::chunk_name(std::string{ batch_id }, i),
                batches::encode_chunk({ 1, { r } }));
  }
  // Nobody takes it over meanwhile: it is shown as ended.
  store::call end;
  end.op = store::operation::replace_status;
  end.kind = "batches";
  end.name = batch_id;
  b.ended = true;
  end.body = batches::encode_status(b);
  w.store.write(end);
}

} // namespace

Test(batches, runs_scores_and_lists_each_item_once)
{
  world w{ 2 };
  cr_assert_eq(w.call(*w.entries[0], "POST", submission(6)), 202);
  SECTION("a repeated submission is accepted once, also elsewhere")
  {
    cr_assert_eq(w.call(*w.entries[1], "POST", submission(6)), 202);
    cr_assert_eq(w.store.all("batches").size(), 1);
  }
  SECTION("any entry shows the same results")
  {
    const auto all = w.read_whole(*w.entries[1], 6);
    check_whole(all, w.engine);
    cr_assert(w.read_whole(*w.entries[0], 6) == all);
  }
  SECTION("after its end they stay readable")
  {
    const auto all = w.read_whole(*w.entries[0], 6);
    cr_assert_eq(w.call(*w.entries[1], "DELETE"), 200);
    cr_assert_eq(w.call(*w.entries[1], "DELETE"), 200);
    cr_assert(w.read_whole(*w.entries[1], 6) == all);
  }
}

// A step of thirteen groups: each group becomes whole at a moment of its own,
// and a write for each would be thirteen priced calls. The trainer goes on when
// it has the groups that it waits for, so those before share writes.
// A trainer's batch is asked for by a caller of another workspace that has got
// hold of its id. It is answered as if there were none, at the owner and at
// entries that know of the batch from the store.
Test(batches, are_not_there_for_another_workspace)
{
  world w{ 2 };
  auto& owner = *w.entries[0];
  auto& other = *w.entries[1];
  w.workspace = "planning";
  cr_assert_eq(w.call(owner, "POST", submission(2)), 202);
  w.read_whole(owner, 2);
  for (auto* e : { &owner, &other }) {
    w.workspace = "billing";
    cr_assert_not(w.read(*e).has_value());
    cr_assert_eq(w.call(*e, "DELETE"), 404);
    cr_assert_eq(w.call(*e, "POST", submission(2)), 404);
  }
  SECTION("its own workspace reads and ends it anywhere")
  {
    w.workspace = "planning";
    w.read_whole(other, 2);
    cr_assert_eq(w.call(other, "POST", submission(2)), 202);
    cr_assert_eq(w.call(other, "DELETE"), 200);
  }
}

Test(batches, writes_groups_together_until_the_trainer_has_enough)
{
  world w{ 1 };
  constexpr int items = 26;
  auto step = json::parse(submission(items));
  step["desired"] = items / 2;
  w.engine.events = 3;
  w.engine.gap_ms = 20;
  // One group after the other.
  backends::find(w.entries[0]->registry, "e1")->info.slots = 2;
  w.call(*w.entries[0], "POST", step.dump());
  const auto all = w.read_whole(*w.entries[0], items);
  check_whole(all, w.engine);
  cr_assert_leq(w.store.all("results").size(), 7);
}

// The store carries a write out and its answer is lost. The entry cannot know
// and makes the write again. A batch accepted twice or a result at two
// positions would reach the trainer twice.
Test(batches, survives_lost_answers_to_its_writes)
{
  world w{ 1 };
  std::map<std::string, int> lost;
  w.store.faults = [&](const store::call& c) {
    const bool write = c.op == store::operation::create;
    return write && lost[c.kind]++ == 0 ? object_store::fault::lose_answer
                                        : object_store::fault::none;
  };
  w.call(*w.entries[0], "POST", submission(4));
  check_whole(w.read_whole(*w.entries[0], 4), w.engine);
  cr_assert_geq(lost["results"], 2, "the first chunk was written again");
}

// The owner's write of results stands, and its acknowledgement is lost, or the
// owner is too busy to read it. Another entry reads the results from the store
// and shows them. Then a caller asks the owner: it must not say that there are
// none, as it can't be sure.
Test(batches, does_not_deny_results_of_a_write_that_is_not_settled)
{
  world w{ 1 };
  w.store.faults = [&](const store::call& c) {
    const bool results =
      c.op == store::operation::create && c.kind == batches::chunk_kind;
    return results ? object_store::fault::lose_answer
                   : object_store::fault::none;
  };
  w.call(*w.entries[0], "POST", submission(2));
  w.run_until([&] { return w.has_results(); });
  cr_assert_not(w.denies_results(*w.entries[0]));
}

// The owner is paused, or so short of processor time that it falls silent.
// Another entry takes over, and its results are read. When the old owner wakes,
// callers ask it before it has heard of all this: what it holds is out of date,
// and it knows that from its own clock.
Test(batches, does_not_deny_results_after_a_pause)
{
  world w{ 2 };
  w.engine.events = 40;
  w.engine.gap_ms = 10;
  w.call(*w.entries[0], "POST", submission(2));
  auto& old = w.by_name(w.owner());
  old.watcher->stop();
  w.run_until([&] { return w.engine.streaming > 0; });
  old.running = false;
  w.run_until([&] { return &w.by_name(w.owner()) != &old; });
  w.read_whole(w.by_name(w.owner()), 2);
  old.running = true;
  cr_assert_not(w.denies_results(old));
}

// The owner lives and its answers to the others are lost. Another entry takes
// over, and its results are read. The old owner's watch is behind. It must not
// go on as if it still owned the batch: the new owner has told it.
Test(batches, tells_the_old_owner_that_it_was_replaced)
{
  world w{ 2 };
  auto& old = *w.entries[0];
  // It cannot run the items itself and learn of the other that way.
  backends::withdraw(old.registry, "e1", http::now_ms());
  w.call(old, "POST", submission(2));
  old.watcher->stop();
  old.is_mute = true;
  w.run_until([&] { return &w.by_name(w.owner()) != &old; });
  w.read_whole(w.by_name(w.owner()), 2);
  cr_assert_not(w.denies_results(old));
}

// The store refuses everything. Nothing can be promised, and nothing has been
// done: the caller is told when to come back and no item runs.
Test(batches, refuses_at_once_what_it_cannot_keep)
{
  world w{ 1 };
  w.store.faults = [](const store::call&) {
    return object_store::fault::refuse;
  };
  cr_assert_eq(w.call(*w.entries[0], "POST", submission(4)), 503);
  SECTION("also when a part of the submission may stand: it alone runs nothing")
  {
    w.store.faults = [](const store::call& c) {
      return c.kind == batches::part_kind ? object_store::fault::silent
                                          : object_store::fault::none;
    };
    cr_assert_eq(w.call(*w.entries[0], "POST", submission(4)), 503);
    cr_assert(w.store.all("batches").empty());
  }
  SECTION("but not when the write of the batch may have taken place")
  {
    w.store.faults = [](const store::call& c) {
      return c.kind == batches::batch_kind ? object_store::fault::silent
                                           : object_store::fault::none;
    };
    cr_assert_eq(w.call(*w.entries[0], "POST", submission(4)), 504);
  }
  cr_assert(w.engine.runs.empty());
}

// An engine resets its stream in the middle of an event. The item goes on
// behind the last whole event; begun anew, or joined with a gap, its text
// would not be what the engine meant.
Test(batches, resumes_a_cut_stream_behind_the_last_whole_event)
{
  world w{ 1 };
  w.engine.cut_inside_event = 3;
  w.call(*w.entries[0], "POST", submission(1));
  check_whole(w.read_whole(*w.entries[0], 1), w.engine);
  cr_assert_eq(w.engine.runs.size(), 2);
  cr_assert_eq(w.engine.runs.back().resumed_at, 2);
}

// Weights older than the batch allows are loaded on the engine, and the list
// of engines says otherwise. No text of them may reach the trainer.
Test(batches, keeps_text_of_old_weights_out)
{
  world w{ 1 };
  w.entries[0]->know("e1", "engines", w.engine.address(), 5);
  w.engine.version = 4;
  w.call(*w.entries[0], "POST", submission(1, 5));
  w.run_until([&] { return !w.engine.runs.empty(); });
  w.engine.version = 5;
  w.entries[0]->know("e1", "engines", w.engine.address(), 5);
  const auto all = w.read_whole(*w.entries[0], 1);
  cr_assert(all[0].at("versions") == json::array({ 5 }));
}

// The owner of a batch falls silent after it has run for a while. Another
// entry takes over and goes on with the text that was kept. Then the old owner
// wakes, still believing that it owns the batch, and its results arrive late.
// Readers of both must see the same results at the same positions.
Test(batches, keeps_one_order_of_results_when_two_believe_they_own_them)
{
  world w{ 3 };
  w.engine.events = 150;
  w.engine.gap_ms = 20;
  w.call(*w.entries[0], "POST", submission(4));
  auto& old = w.by_name(w.owner());
  w.run_until([&] { return !w.store.all("texts").empty(); });
  old.running = false;
  w.run_until([&] { return &w.by_name(w.owner()) != &old; });
  auto& heir = w.by_name(w.owner());
  w.run_until([&] { return w.engine.runs.size() > 4; });
  cr_assert_gt(w.engine.runs.back().resumed_at, 0, "the kept text was used");
  old.running = true;
  const auto all = w.read_whole(heir, 4);
  check_whole(all, w.engine);
  cr_assert(w.read_whole(old, 4) == all);
  const auto chunks = w.store.all("results");
  const auto first = batches::decode_chunk(chunks.front().spec);
  cr_assert(first->results.empty(), "the heir fenced the ledger first");
}

// An engine starts again under its id while items run there, and the
// connections of the old life stay silent. The entry learns of the new life
// from the list; its items go on at once, behind the text they have, and the
// ends of the old runs don't free places that nobody holds.
Test(batches, go_on_at_once_when_an_engine_starts_again_under_its_id)
{
  world w{ 1 };
  auto& e = *w.entries[0];
  w.engine.events = 100000;
  w.call(e, "POST", submission(2));
  w.run_until([&] { return w.engine.streaming == 2; });
  stream_engine next{ w.io, "e1" };
  e.know("e1", "engines", next.address(), 1, 2);
  w.run_until([&] { return next.streaming == 2; });
  cr_assert_eq(next.runs.size(), 2);
  cr_assert_eq(backends::find(e.registry, "e1")->in_flight, 2);
  SECTION("late word of the old life moves nothing back")
  {
    e.know("e1", "engines", w.engine.address(), 1, 1);
    w.run_until([&] { return w.engine.streaming == 0; });
    cr_assert_eq(next.streaming, 2);
    cr_assert_eq(backends::find(e.registry, "e1")->in_flight, 2);
  }
}

// A batch ends while its items run. What nobody reads any more is cancelled.
Test(batches, stops_the_runs_of_an_ended_batch)
{
  world w{ 2 };
  w.engine.events = 100000;
  w.call(*w.entries[0], "POST", submission(4));
  w.run_until([&] { return w.engine.streaming == 4; });
  cr_assert_eq(w.call(*w.entries[1], "DELETE"), 200);
  w.run_until([&] { return w.engine.streaming == 0; });
  cr_assert(w.entries[0]->keeper->owned() == 0);
}

// The owner's watch is behind, as on a starved instance after a restart, while
// a batch is ended at another entry. Its items ran on for thirteen seconds.
Test(batches, tells_the_owner_of_an_end_that_its_watch_has_not_shown)
{
  world w{ 2 };
  w.engine.events = 100000;
  w.call(*w.entries[0], "POST", submission(4));
  w.run_until([&] { return w.engine.streaming == 4; });
  w.entries[0]->watcher->stop();
  cr_assert_eq(w.call(*w.entries[1], "DELETE"), 200);
  w.run_until([&] { return w.engine.streaming == 0; });
}

// An entry accepts a step for the one that runs the trainer's steps. That one
// lists some results and falls silent; the first takes over. What was listed
// meanwhile is new to it: begun as a fresh batch, positions that a trainer had
// read would be gone.
Test(batches, takes_over_what_it_accepted_for_another)
{
  world w{ 2 };
  auto& runner = *w.entries[1];
  auto& acceptor = *w.entries[0];
  w.engine.events = 10;
  w.call(runner, "POST", submission(1), "batch-0");
  // It has to have heard that the other lives.
  const auto asked = runner.alive_answers;
  w.run_until([&] { return runner.alive_answers >= asked + 2; });
  w.engine.events = 5;
  w.call(acceptor, "POST", submission(4));
  cr_assert_eq(w.owner(), "entry-1");
  const auto listed = w.read_whole(runner, 4);
  runner.running = false;
  w.run_until([&] { return w.owner() == "entry-0"; });
  cr_assert_not(w.denies_results(acceptor));
  cr_assert(w.read_whole(acceptor, 4) == listed);
}

// The store is silent for everybody. The owner cannot list, and says so; it
// holds seconds of text that nobody else has. Another entry that took the batch
// over when the store is back would begin from text that was kept before.
Test(batches, stay_with_their_owner_while_the_store_is_away_for_all)
{
  world w{ 2 };
  w.engine.events = 100000;
  w.call(*w.entries[0], "POST", submission(2));
  w.run_until([&] { return w.engine.streaming == 2; });
  w.store.faults = [](const store::call&) {
    return object_store::fault::silent;
  };
  constexpr std::uint64_t away_ms = 5000;
  const auto back = http::now_ms() + away_ms;
  w.run_until([&] { return http::now_ms() >= back; });
  w.store.faults = nullptr;
  const auto calls = w.store.calls();
  w.run_until([&] { return w.store.calls() > calls + 20; });
  cr_assert_eq(w.owner(), "entry-0");
}

// A step arrives at one entry and runs at another, whose watch shows it before
// any message of the first. That entry read the submission and the results back
// from the store and wrote a fence before it began: the trainer's step started
// up to 0.9 s late, and so did all behind it.
Test(batches, begin_at_once_at_another_entry)
{
  world w{ 2 };
  auto& runner = *w.entries[1];
  auto& asked_first = *w.entries[0];
  w.engine.events = 30;
  w.call(runner, "POST", submission(1), "batch-0");
  w.wait_until_seen(runner);
  int parts_read = 0;
  w.store.faults = [&](const store::call& c) {
    const bool reads = c.op == store::operation::get;
    parts_read += reads && c.kind == batches::part_kind ? 1 : 0;
    return object_store::fault::none;
  };
  w.engine.events = 5;
  cr_assert_eq(w.call(asked_first, "POST", submission(4)), 202);
  cr_assert_eq(w.owner(), "entry-1");
  check_whole(w.read_whole(asked_first, 4), w.engine);
  cr_assert_eq(parts_read, 0);
  const auto* first = w.store.find(std::string{ batches::chunk_kind },
                                   batches::chunk_name("batch-1", 0));
  cr_assert_not(batches::decode_chunk(first->spec)->results.empty());
}

// The entry that runs a trainer's steps takes no more, or falls silent. The
// next one is accepted in time all the same, and runs where it arrived.
Test(batches, run_where_they_arrive_when_nobody_else_takes_them)
{
  for (const bool silent : { false, true }) {
    world w{ 2 };
    auto& runner = *w.entries[1];
    w.engine.events = 30;
    w.call(runner, "POST", submission(1), "batch-0");
    w.wait_until_seen(runner);
    runner.refuses_batches = !silent;
    runner.hides_acceptance = silent;
    cr_assert_eq(w.call(*w.entries[0], "POST", submission(2)), 202);
    cr_assert_eq(w.owner(), "entry-0");
  }
}

// The other entry was passed a submission and has not answered: it may accept
// it later. Refused as "not run" here, the caller would believe that nothing
// runs.
Test(batches, promise_nothing_for_what_was_passed_on_without_an_answer)
{
  world w{ 2 };
  auto& runner = *w.entries[1];
  w.engine.events = 30;
  w.call(runner, "POST", submission(1), "batch-0");
  w.wait_until_seen(runner);
  runner.hides_acceptance = true;
  w.store.faults = [](const store::call& c) {
    return c.op == store::operation::create ? object_store::fault::refuse
                                            : object_store::fault::none;
  };
  constexpr int unknown = 504;
  cr_assert_eq(w.call(*w.entries[0], "POST", submission(2)), unknown);
}

// What another entry passes on is cut short, or of another shape. It is refused
// as such, and nothing runs.
Test(batches, leaves_out_what_is_passed_on_malformed)
{
  world w{ 1 };
  constexpr int malformed = 400;
  for (const auto* body : { "", "[]", "{\"items\": 1}", "{\"items\": [{}]}" }) {
    cr_assert_eq(w.pass_on(*w.entries[0], { { "Caller-Target", "/b/" } }, body),
                 malformed);
    cr_assert_eq(w.pass_on(*w.entries[0],
                           { { "Caller-Target", "/b/" },
                             { "Caller-Patience-Ms", "1000" } },
                           body),
                 malformed);
  }
  cr_assert_eq(w.entries[0]->keeper->owned(), 0);
}

// A planned stop: the batch is given away at once with its text, and no reader
// waits for the silence of its owner.
Test(batches, gives_its_batches_away_when_it_leaves)
{
  world w{ 2 };
  w.engine.events = 100;
  w.engine.gap_ms = 10;
  w.call(*w.entries[0], "POST", submission(2));
  w.run_until([&] { return w.engine.streaming == 2; });
  bool left = false;
  w.entries[0]->keeper->leave([&] { left = true; });
  w.run_until([&] { return left && w.owner() == "entry-1"; });
  check_whole(w.read_whole(*w.entries[1], 2), w.engine);
}

// A planned stop of an entry that knows others: the named one goes on at once,
// and nobody else writes itself down as the owner.
Test(batches, hands_its_batches_to_the_entry_that_it_knows)
{
  world w{ 3 };
  w.engine.events = 100;
  w.engine.gap_ms = 10;
  const auto address = "127.0.0.1:" + std::to_string(w.entries[2]->peer.port());
  w.entries[0]->others = { { "entry-2", address, 1 } };
  w.call(*w.entries[0], "POST", submission(2));
  w.run_until([&] { return w.engine.streaming == 2; });
  std::set<std::string> owners;
  bool left = false;
  w.entries[0]->keeper->leave([&] { left = true; });
  w.run_until([&] {
    owners.insert(w.owner());
    return left && w.entries[2]->keeper->owned() == 1;
  });
  cr_assert(owners == (std::set<std::string>{ "entry-0", "entry-2" }));
  check_whole(w.read_whole(*w.entries[1], 2), w.engine);
}

// A value of the store is a megabyte at most, and this submission is larger. It
// is kept in parts; another entry that takes the batch over reads them all.
Test(batches, keeps_a_submission_that_is_larger_than_a_value)
{
  world w{ 2 };
  w.engine.events = 100;
  w.engine.gap_ms = 10;
  auto large = json::parse(submission(2));
  large["filler"] = std::string(1200000, 'x');
  cr_assert_eq(w.call(*w.entries[0], "POST", large.dump()), 202);
  cr_assert_gt(w.store.all("submissions").size(), 2);
  w.run_until([&] { return w.engine.streaming == 2; });
  bool left = false;
  w.entries[0]->keeper->leave([&] { left = true; });
  w.run_until([&] { return left && w.owner() == "entry-1"; });
  check_whole(w.read_whole(*w.entries[1], 2), w.engine);
}

// The store takes the parts of a submission and refuses its head. Nothing runs,
// the caller is told when to come back, and the parts are removed when its
// batch could no longer be read: those of refused batches would fill the store.
Test(batches, removes_the_parts_of_a_batch_that_was_refused)
{
  world w{ 1 };
  w.store.faults = [](const store::call& c) {
    const bool head =
      c.op == store::operation::create && c.kind == batches::batch_kind;
    return head ? object_store::fault::refuse : object_store::fault::none;
  };
  cr_assert_eq(w.call(*w.entries[0], "POST", submission(2)), 503);
  cr_assert_eq(w.store.all("submissions").size(), 1);
  w.run_until([&] { return w.store.all("submissions").empty(); });
  cr_assert(w.engine.runs.empty());
}

// An entry has just started and knows no results yet. Two callers read the same
// ended batch at once, and its chunks come in several answers. The one that
// finds the first chunks taken in already must not take them for all: positions
// that had been read would seem to be gone.
Test(batches, shows_all_results_to_readers_that_come_together)
{
  world w{ 0 };
  constexpr std::size_t chunks = 6;
  w.store.page_size = 2;
  put_ended_batch(w, chunks);
  auto& e = w.add_entry("entry-0");
  w.run_until([&] { return e.watcher->is_current(); });
  std::vector<std::size_t> seen;
  for (int reader = 0; reader < 3; ++reader) {
    http::request r{
      "GET", "/b/", { { "Host", "h" }, { "Id", std::string{ batch_id } } }, ""
    };
    w.caller.fetch(
      e.front_address(), r, {}, [&](http::end_state, http::response&& a) {
        seen.push_back(json::parse(a.body).at("results").size());
      });
  }
  w.run_until([&] { return seen.size() == 3; });
  for (const auto size : seen) {
    cr_assert_eq(size, chunks);
  }
}

// An entry looks for the results of an ended batch, and the store refuses. It
// knows as little as before: taken for a look that found nothing, the next
// caller would be told that results it had read are gone.
Test(batches, does_not_deny_results_after_a_look_that_failed)
{
  world w{ 0 };
  put_ended_batch(w, 2);
  auto& e = w.add_entry("entry-0");
  w.run_until([&] { return e.watcher->is_current(); });
  w.store.faults = [](const store::call& c) {
    return c.kind == batches::chunk_kind ? object_store::fault::refuse
                                         : object_store::fault::none;
  };
  cr_assert_not(w.denies_results(e));
  cr_assert_not(w.denies_results(e));
  w.store.faults = nullptr;
  cr_assert_eq(w.read_whole(e, 2).size(), 2);
}

// Nobody reads an ended batch for ever. Kept for ever, batches would fill the
// store and the memory of every entry.
Test(batches, removes_what_has_ended_long_ago)
{
  world w{ 2 };
  w.call(*w.entries[0], "POST", submission(4));
  w.read_whole(*w.entries[0], 4);
  w.call(*w.entries[0], "DELETE");
  w.run_until([&] { return w.store.all("batches").empty(); });
  cr_assert(w.store.all("results").empty());
  cr_assert(w.store.all("texts").empty());
  cr_assert(w.store.all("submissions").empty());
  w.run_until([&] { return !w.read(*w.entries[1]); });
}

// Among the entries of a kind are some of another writer: one is no object, one
// holds bytes that are no text. The others of the list, of its further pages
// and of the watch behind it hold, and the broken ones are named.
Test(watcher, shows_all_others_beside_entries_that_are_broken)
{
  world w{ 1 };
  auto& e = *w.entries[0];
  w.store.page_size = 2;
  w.store.texts_for_objects = { "b", "e" };
  for (const auto* name : { "a", "b", "c", "d", "e", "f" }) {
    w.store.put("things", name, { { "x", 1 } });
  }
  const std::string bad{ object_store::bad_byte };
  w.store.put("things", "d", { { "x", bad } });
  std::set<std::string> shown;
  std::set<std::string> broken;
  store::watcher things{
    e.io,
    e.store,
    { "things", 1000 },
    { [&](std::vector<store::object>&& all) {
       for (const auto& o : all) {
         shown.insert(o.name);
       }
     },
      [&](store::change&& c) { shown.insert(c.value.name); },
      {},
      [&](const store::unreadable_object& u) { broken.insert(u.name); } }
  };
  things.start();
  w.run_until([&] { return things.is_current(); });
  const std::set<std::string> whole{ "a", "c", "f" };
  cr_assert(shown == whole);
  cr_assert(broken.contains("d"));
  SECTION("a change that breaks one, and the next that doesn't")
  {
    w.store.put("things", "c", { { "x", bad } });
    w.store.put("things", "g", { { "x", 1 } });
    w.run_until([&] { return broken.contains("c") && shown.contains("g"); });
  }
}

// The store cuts a waiting watch and drops its history. A watch from the old
// revision would show nothing for as long as it is held.
Test(watcher, lists_again_after_its_watch_was_cut)
{
  world w{ 1 };
  w.store.faults = [&](const store::call& c) {
    return c.op == store::operation::watch ? object_store::fault::silent
                                           : object_store::fault::none;
  };
  w.store.compact();
  w.store.put("batches", "unreadable", { { "x", 1 } });
  const auto before = w.entries[0]->watcher->as_of();
  w.run_until([&] { return w.entries[0]->watcher->as_of() > before; });
}

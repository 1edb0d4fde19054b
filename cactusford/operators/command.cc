#include "cactusford/operators/command.h"

#include "cactusford/configuration/declaration.h"
#include "cactusford/operators/client.h"
#include "cactusford/operators/files.h"
#include "cactusford/process/daemon.h"
#include "cactusford/store/fields.h"
#include "cactusford/timeline/history.h"
#include "cactusford/timeline/render.h"

#include <google/protobuf/util/json_util.h>
#include <nlohmann/json.hpp>
#include <popt.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <thread>

namespace cactusford::operators {

namespace {

using nlohmann::json;

constexpr int exit_done = 0;
constexpr int exit_failed = 1;
constexpr int exit_usage = 2;
constexpr int exit_conflict = 3;
constexpr std::chrono::seconds watch_interval{ 2 };

constexpr const char* usage =
  "COMMAND [ARGUMENTS]\n\n"
  "  apply -f FILE|DIR        create or update declarations\n"
  "  get KIND [NAME]          show declarations\n"
  "  diff -f FILE|DIR         show what apply would change\n"
  "  delete KIND NAME         delete a declaration\n"
  "  drain DATA-CENTRE        send nothing new to its backend servers\n"
  "  undrain DATA-CENTRE      remove the order to drain it\n"
  "  status [--watch]         instances, trainers, configuration, refusals\n"
  "  timeline DIR             merge and show the event logs below DIR\n"
  "  check-history DIR        check event logs for broken promises\n\n"
  "Set entries with --entry or CACTUSFORD_ENTRIES (comma-separated).";

struct options
{
  std::vector<std::string> entries;
  std::vector<std::string> arguments;
  std::string file;
  std::string request;
  std::string sample;
  std::string trace;
  std::string html;
  std::string reason;
  long expected_version = -1;
  bool as_json = false;
  bool watch = false;
  bool text = false;
};

int
fail(const failure& f)
{
  std::cerr << message_of(f) << "\n";
  return f.kind == error_kind::conflict ? exit_conflict : exit_failed;
}

int
usage_error(const std::string& message)
{
  std::cerr << message << "; see cactusford --help\n";
  return exit_usage;
}

void
split_entries(const std::string& text, std::vector<std::string>& out)
{
  std::istringstream in{ text };
  std::string part;
  while (std::getline(in, part, ',')) {
    if (!part.empty()) {
      out.push_back(part);
    }
  }
}

// Returns the declaration that the platform stores, or one with version 0 if
// there is none.
result<declaration>
fetch_stored(client& c, const declaration_file& d)
{
  get_request r;
  r.set_kind(d.kind);
  r.set_name(d.name);
  const auto answer = c.get(r);
  if (answer.error.kind == error_kind::not_found) {
    return {};
  }
  if (!answer) {
    return { {}, answer.error };
  }
  return { answer.value.declarations(0), {} };
}

int
apply_one(client& c, const declaration_file& d, long expected_version)
{
  const auto stored = fetch_stored(c, d);
  if (!stored) {
    return fail(stored.error);
  }
  apply_request r;
  r.mutable_declaration()->set_kind(d.kind);
  r.mutable_declaration()->set_name(d.name);
  r.mutable_declaration()->set_spec(d.spec);
  r.set_expected_version(expected_version >= 0
                           ? static_cast<std::uint64_t>(expected_version)
                           : stored.value.version());
  r.set_request_id(process::generate_id());
  const auto answer = c.apply(r);
  if (!answer) {
    return fail(answer.error);
  }
  std::cout << d.kind << "/" << d.name << " version " << answer.value.version()
            << (answer.value.changed() ? " applied\n" : " unchanged\n");
  return exit_done;
}

// A spec that is not JSON, which another writer has stored, is shown as text.
json
spec_from(const std::string& text)
{
  auto spec = store::parse_message(text);
  return spec.is_discarded() ? json(text) : spec;
}

int
apply(const options& o)
{
  if (o.file.empty()) {
    return usage_error("apply needs -f FILE|DIR");
  }
  const auto all = read_declarations(o.file);
  if (!all) {
    return fail(all.error);
  }
  client c{ o.entries };
  for (const auto& d : all.value) {
    if (const int code = apply_one(c, d, o.expected_version)) {
      return code;
    }
  }
  return exit_done;
}

int
diff(const options& o)
{
  if (o.file.empty()) {
    return usage_error("diff needs -f FILE|DIR");
  }
  const auto all = read_declarations(o.file);
  if (!all) {
    return fail(all.error);
  }
  client c{ o.entries };
  int changes = 0;
  for (const auto& d : all.value) {
    const auto stored = fetch_stored(c, d);
    if (!stored) {
      return fail(stored.error);
    }
    const bool absent = stored.value.version() == 0 || stored.value.deleted();
    const auto before =
      absent ? json::object() : spec_from(stored.value.spec());
    const auto patch = json::diff(before, spec_from(d.spec));
    if (absent || !patch.empty()) {
      ++changes;
      std::cout << d.kind << "/" << d.name << (absent ? " (new) " : " ")
                << patch.dump() << "\n";
    }
  }
  std::cout << changes << " to change\n";
  return exit_done;
}

int
get(const options& o)
{
  if (o.arguments.size() < 2) {
    return usage_error("get needs KIND [NAME]");
  }
  get_request r;
  r.set_kind(o.arguments[1]);
  r.set_name(o.arguments.size() > 2 ? o.arguments[2] : "");
  const auto answer = client{ o.entries }.get(r);
  if (!answer) {
    return fail(answer.error);
  }
  for (const auto& d : answer.value.declarations()) {
    if (!d.deleted()) {
      std::cout << json{ { "kind", d.kind() },
                         { "name", d.name() },
                         { "version", d.version() },
                         { "spec", spec_from(d.spec()) } }
                     .dump(-1, ' ', false, json::error_handler_t::replace)
                << "\n";
    }
  }
  return exit_done;
}

int
remove_one(client& c, const std::string& kind, const std::string& name)
{
  const auto stored = fetch_stored(c, { kind, name, {}, {} });
  if (!stored) {
    return fail(stored.error);
  }
  delete_request r;
  r.set_kind(kind);
  r.set_name(name);
  r.set_expected_version(stored.value.version());
  r.set_request_id(process::generate_id());
  const auto answer = c.remove(r);
  if (!answer) {
    return fail(answer.error);
  }
  std::cout << kind << "/" << name << " version " << answer.value.version()
            << " deleted\n";
  return exit_done;
}

int
remove(const options& o)
{
  if (o.arguments.size() != 3) {
    return usage_error("delete needs KIND NAME");
  }
  client c{ o.entries };
  return remove_one(c, o.arguments[1], o.arguments[2]);
}

// The order counts even if no instance is known in the data centre, as
// instances may be added there later. A misspelt name is the likelier cause.
void
warn_if_unknown(client& c, const std::string& data_centre)
{
  const auto answer = c.status();
  const auto& instances = answer.value.instances();
  const bool is_known =
    std::any_of(instances.begin(), instances.end(), [&](const auto& i) {
      return i.data_centre() == data_centre;
    });
  if (answer && !is_known) {
    std::cerr << "no instance is in data centre " << data_centre
              << "; the order applies to those that are added\n";
  }
}

int
drain(const options& o)
{
  if (o.arguments.size() != 2) {
    return usage_error("drain needs DATA-CENTRE");
  }
  const declaration_file d{ "drain",
                            o.arguments[1],
                            configuration::to_spec(
                              configuration::drain{ o.reason }),
                            {} };
  if (const auto f = configuration::check_declaration(d.kind, d.name, d.spec)) {
    return fail(f);
  }
  client c{ o.entries };
  const int code = apply_one(c, d, o.expected_version);
  if (code == exit_done) {
    warn_if_unknown(c, d.name);
  }
  return code;
}

int
undrain(const options& o)
{
  if (o.arguments.size() != 2 || !o.reason.empty()) {
    return usage_error("undrain needs DATA-CENTRE and takes no --reason");
  }
  client c{ o.entries };
  return remove_one(c, "drain", o.arguments[1]);
}

void
print_status(const status_response& s)
{
  std::cout << "configuration version " << s.configuration_version()
            << " in force on " << s.in_force() << " of " << s.processes()
            << "\nsecurity " << s.security() << "\n";
  std::map<std::string, std::map<std::string, int>> data_centres;
  for (const auto& i : s.instances()) {
    ++data_centres[i.data_centre()][i.role() + " " + i.state()];
  }
  for (const auto& [data_centre, counts] : data_centres) {
    std::cout << "data centre " << data_centre << ":";
    for (const auto& [role_and_state, count] : counts) {
      std::cout << " " << role_and_state << " " << count;
    }
    std::cout << "\n";
  }
  for (const auto& d : s.drains()) {
    std::cout << "drained " << d.data_centre() << ": version " << d.version()
              << " in force on " << d.in_force() << " of " << s.processes();
    if (!d.reason().empty()) {
      std::cout << ", reason: " << d.reason();
    }
    std::cout << "\n";
  }
  for (const auto& t : s.trainers()) {
    std::cout << "trainer " << t.name() << ": owner " << t.owner() << " fence "
              << t.fence() << " step " << t.step() << " samples "
              << t.received() << "/" << t.step_size() << " weights "
              << t.weight_version() << std::fixed << std::setprecision(2)
              << " staleness " << t.staleness_mean() << "\n";
  }
  for (const auto& r : s.refusals()) {
    std::cout << "refused " << r.kind() << " " << r.count() << "\n";
  }
}

int
status(const options& o)
{
  client c{ o.entries };
  do {
    const auto answer = c.status();
    if (!answer) {
      return fail(answer.error);
    }
    if (o.as_json) {
      std::string text;
      google::protobuf::util::JsonPrintOptions print;
      print.preserve_proto_field_names = true;
      print.always_print_primitive_fields = true;
      (void)google::protobuf::util::MessageToJsonString(
        answer.value, &text, print);
      std::cout << text << std::endl;
    } else {
      print_status(answer.value);
    }
    if (o.watch) {
      std::cout << std::endl;
      std::this_thread::sleep_for(watch_interval);
    }
  } while (o.watch);
  return exit_done;
}

int
check_history(const options& o)
{
  if (o.arguments.size() != 2) {
    return usage_error("check-history needs DIR");
  }
  const auto records = timeline::read_logs(o.arguments[1]);
  bool all_kept = true;
  for (const auto& r : timeline::check_history(records, {})) {
    std::cout << timeline::to_string(r) << "\n";
    for (const auto& v : r.violations) {
      std::cerr << "violation promise=" << r.promise << " " << v << "\n";
    }
    all_kept = all_kept && r.violations.empty();
  }
  return all_kept ? exit_done : exit_failed;
}

int
show_timeline(const options& o)
{
  if (o.arguments.size() != 2) {
    return usage_error("timeline needs DIR");
  }
  const auto records =
    timeline::select(timeline::read_logs(o.arguments[1]), o.request, o.sample);
  if (!o.trace.empty()) {
    std::ofstream{ o.trace } << timeline::to_trace(records);
  }
  if (!o.html.empty()) {
    std::ofstream{ o.html } << timeline::to_html(records);
  }
  if (o.text || (o.trace.empty() && o.html.empty())) {
    std::cout << timeline::to_text(records);
  }
  return exit_done;
}

// Copies a string that popt allocated and frees the original.
std::string
take_ownership(char* text)
{
  std::string s = text == nullptr ? "" : text;
  std::free(text);
  return s;
}

} // namespace

int
run_command(int argc, char** argv)
{
  options o;
  enum
  {
    entry_option = 1,
  };
  char* entry = nullptr;
  char* file = nullptr;
  char* request = nullptr;
  char* sample = nullptr;
  char* trace = nullptr;
  char* html = nullptr;
  char* reason = nullptr;
  int as_json = 0;
  int watch = 0;
  int text = 0;
  const std::array<poptOption, 13> table{
    poptOption{ "entry",
                'e',
                POPT_ARG_STRING,
                &entry,
                entry_option,
                "RPC address of an entry (repeatable)",
                "IP:PORT" },
    poptOption{ "file",
                'f',
                POPT_ARG_STRING,
                &file,
                0,
                "Declarations to read",
                "FILE|DIR" },
    poptOption{ "expected-version",
                0,
                POPT_ARG_LONG,
                &o.expected_version,
                0,
                "Expected current version of the declaration for apply",
                "N" },
    poptOption{
      "json", 0, POPT_ARG_NONE, &as_json, 0, "Print status as JSON", nullptr },
    poptOption{ "watch",
                'w',
                POPT_ARG_NONE,
                &watch,
                0,
                "Print status repeatedly",
                nullptr },
    poptOption{ "request",
                0,
                POPT_ARG_STRING,
                &request,
                0,
                "Only show events of this request",
                "ID" },
    poptOption{ "sample",
                0,
                POPT_ARG_STRING,
                &sample,
                0,
                "Only show events of this sample",
                "ID" },
    poptOption{ "reason",
                0,
                POPT_ARG_STRING,
                &reason,
                0,
                "Reason of a drain order, shown by status",
                "TEXT" },
    poptOption{ "text",
                0,
                POPT_ARG_NONE,
                &text,
                0,
                "Print the time line as text",
                nullptr },
    poptOption{ "trace",
                0,
                POPT_ARG_STRING,
                &trace,
                0,
                "Write the time line as Chrome trace JSON",
                "FILE" },
    poptOption{ "html",
                0,
                POPT_ARG_STRING,
                &html,
                0,
                "Write the time line as an HTML page",
                "FILE" },
    poptOption POPT_AUTOHELP poptOption POPT_TABLEEND
  };
  auto* context = poptGetContext(
    "cactusford", argc, const_cast<const char**>(argv), table.data(), 0);
  poptSetOtherOptionHelp(context, usage);
  int rc = 0;
  while ((rc = poptGetNextOpt(context)) > 0) {
    if (rc == entry_option) {
      split_entries(take_ownership(std::exchange(entry, nullptr)), o.entries);
    }
  }
  std::string option_error;
  if (rc < -1) {
    option_error =
      std::string{ poptBadOption(context, 0) } + ": " + poptStrerror(rc);
  }
  while (const char* argument = poptGetArg(context)) {
    o.arguments.emplace_back(argument);
  }
  poptFreeContext(context);
  o.file = take_ownership(file);
  o.request = take_ownership(request);
  o.sample = take_ownership(sample);
  o.trace = take_ownership(trace);
  o.html = take_ownership(html);
  o.reason = take_ownership(reason);
  o.as_json = as_json != 0;
  o.watch = watch != 0;
  o.text = text != 0;
  if (const char* variable = std::getenv("CACTUSFORD_ENTRIES");
      o.entries.empty() && variable != nullptr) {
    split_entries(variable, o.entries);
  }
  if (!option_error.empty() || o.arguments.empty()) {
    return usage_error(option_error.empty() ? "no command given"
                                            : option_error);
  }
  const std::map<std::string, int (*)(const options&)> commands{
    { "apply", apply },
    { "get", get },
    { "diff", diff },
    { "delete", remove },
    { "drain", drain },
    { "undrain", undrain },
    { "status", status },
    { "timeline", show_timeline },
    { "check-history", check_history },
  };
  const auto found = commands.find(o.arguments[0]);
  if (found == commands.end()) {
    return usage_error("unknown command '" + o.arguments[0] + "'");
  }
  return found->second(o);
}

} // namespace cactusford::operators

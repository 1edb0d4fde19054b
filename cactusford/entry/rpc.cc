#include "cactusford/entry/rpc.h"

#include "cactusford/configuration/configuration.pb.h"
#include "cactusford/configuration/tree.h"
#include "cactusford/http/socket.h"
#include "cactusford/link/request.h"
#include "cactusford/operators/operators.grpc.pb.h"
#include "cactusford/rollout/rollout.grpc.pb.h"
#include "cactusford/timeline/event.h"

#include <grpcpp/grpcpp.h>

#include <algorithm>
#include <future>

namespace cactusford::entry {

namespace {

constexpr std::uint32_t request_timeout_ms = 1500;
constexpr std::uint32_t fetch_margin_ms = 2000;
constexpr int max_rpc_message = 64 << 20;

grpc::Status
grpc_status_of(const failure& f)
{
  if (!f) {
    return grpc::Status::OK;
  }
  auto code = grpc::StatusCode::UNAVAILABLE;
  switch (f.kind) {
    case error_kind::bad_request:
    case error_kind::too_large:
      code = grpc::StatusCode::INVALID_ARGUMENT;
      break;
    case error_kind::not_found:
      code = grpc::StatusCode::NOT_FOUND;
      break;
    case error_kind::conflict:
    case error_kind::fenced:
      code = grpc::StatusCode::ABORTED;
      break;
    case error_kind::unauthorized:
      code = grpc::StatusCode::PERMISSION_DENIED;
      break;
    default:
      break;
  }
  return { code, message_of(f), std::string{ name_of(f.kind) } };
}

failure
failure_from(const rollout::rollout_error& e)
{
  return { error_kind_from(e.kind()), e.message(), e.retry_after_ms() };
}

} // namespace

struct rpc_server::impl
{
  class trainers_service : public rollout::trainer_service::Service
  {
  public:
    explicit trainers_service(impl& i)
      : impl_{ i }
    {
    }
    grpc::Status fetch(grpc::ServerContext*,
                       const rollout::fetch_request* in,
                       rollout::fetch_response* out) override
    {
      return grpc_status_of(impl_.fetch(*in, *out));
    }
    grpc::Status publish(grpc::ServerContext*,
                         const rollout::publish_request* in,
                         rollout::publish_response* out) override
    {
      return grpc_status_of(impl_.publish(*in, *out));
    }

  private:
    impl& impl_;
  };

  class operators_service : public operators::operator_service::Service
  {
  public:
    explicit operators_service(impl& i)
      : impl_{ i }
    {
    }
    grpc::Status apply(grpc::ServerContext*,
                       const operators::apply_request* in,
                       operators::apply_response* out) override
    {
      return grpc_status_of(impl_.apply(*in, *out));
    }
    grpc::Status get(grpc::ServerContext*,
                     const operators::get_request* in,
                     operators::get_response* out) override
    {
      return grpc_status_of(impl_.get(*in, *out));
    }
    grpc::Status remove(grpc::ServerContext*,
                        const operators::delete_request* in,
                        operators::apply_response* out) override
    {
      return grpc_status_of(impl_.remove(*in, *out));
    }
    grpc::Status status(grpc::ServerContext*,
                        const operators::status_request*,
                        operators::status_response* out) override
    {
      return grpc_status_of(impl_.status(*out));
    }

  private:
    impl& impl_;
  };

  impl(process::daemon& d, settings::entry_settings s, owner& o)
    : daemon{ d }
    , settings{ std::move(s) }
    , local_owner{ o }
    , trainer_api{ *this }
    , operator_api{ *this }
  {
  }

  // Runs `run` on the io thread and waits for the value that it passes to its
  // callback.
  template<typename T>
  T run_on_io(std::function<void(std::function<void(T)>)> run)
  {
    auto promise = std::make_shared<std::promise<T>>();
    auto future = promise->get_future();
    asio::post(daemon.io, [promise, run = std::move(run)] {
      run([promise](T value) { promise->set_value(std::move(value)); });
    });
    return future.get();
  }

  configuration::snapshot_ptr view()
  {
    return run_on_io<configuration::snapshot_ptr>(
      [this](auto done) { done(daemon.configuration.current()); });
  }

  failure fetch(const rollout::fetch_request& in, rollout::fetch_response& out)
  {
    const auto reply = run_on_io<rollout::fetch_reply>(
      [this, in](auto done) { fetch_from_owner(in, done); });
    if (reply.has_error()) {
      return failure_from(reply.error());
    }
    out = reply.response();
    return {};
  }

  // If this entry is not the owner, forwards the fetch to the other candidate
  // owners in order of preference.
  void fetch_from_owner(const rollout::fetch_request& in, fetch_done done)
  {
    local_owner.fetch(in, [this, in, done](const rollout::fetch_reply& reply) {
      if (reply.has_error() && reply.error().kind() == "not_owner") {
        const auto current = daemon.configuration.current();
        auto candidates = owner_candidates(*current, in.trainer());
        std::erase(candidates, settings.process.instance);
        fetch_from_candidates(in, candidates, 0, reply, done);
      } else {
        done(reply);
      }
    });
  }

  void fetch_from_candidates(const rollout::fetch_request& in,
                             const std::vector<std::string>& entries,
                             std::size_t index,
                             const rollout::fetch_reply& last_reply,
                             const fetch_done& done)
  {
    const auto current = daemon.configuration.current();
    const auto found = index < entries.size()
                         ? current->instances->find(entries[index])
                         : current->instances->end();
    if (found == current->instances->end()) {
      done(last_reply);
      return;
    }
    link::send_request(
      daemon.io,
      daemon.links,
      link::address_from(found->second.value.link),
      "/rollout/fetch",
      in.SerializeAsString(),
      in.wait_ms() + fetch_margin_ms,
      [=, this](const result<std::string>& r) {
        rollout::fetch_reply reply;
        const bool is_valid = r && reply.ParseFromString(r.value);
        if (is_valid && reply.has_response()) {
          done(reply);
        } else {
          fetch_from_candidates(
            in, entries, index + 1, is_valid ? reply : last_reply, done);
        }
      });
  }

  failure publish(const rollout::publish_request& in,
                  rollout::publish_response& out)
  {
    const auto current = view();
    const auto trainer = current->trainers->find(in.trainer());
    if (trainer == current->trainers->end()) {
      return { error_kind::not_found, "trainer " + in.trainer() };
    }
    const auto& model = trainer->second.value.model;
    const auto stored = daemon.platform.get("weights", model);
    if (!stored && stored.error.kind != error_kind::not_found) {
      return stored.error;
    }
    // A repeated or late publication changes nothing, as versions only
    // increase.
    const auto published = configuration::weights_from(stored.value.spec);
    if (stored && !stored.value.deleted && published &&
        published->version >= in.weight_version()) {
      out.set_configuration_version(stored.value.version);
      return {};
    }
    const auto spec = configuration::to_spec({ model, in.weight_version() });
    const auto written = put(
      { "weights", model, stored.value.version, spec, in.request_id(), false });
    out.set_configuration_version(written.value);
    if (written) {
      timeline::log(timeline::event{ "weights_published" }
                      .with("trainer", in.trainer())
                      .with("model", model)
                      .with("weight_version", in.weight_version())
                      .with("version", written.value));
    }
    return written.error;
  }

  result<std::uint64_t> put(platform::write w)
  {
    if (w.request_id.empty()) {
      w.request_id = process::generate_id();
    }
    auto r = daemon.platform.put(w);
    if (r) {
      timeline::log(timeline::event{ "configuration_accepted" }
                      .with("kind", w.kind)
                      .with("name", w.name)
                      .with("version", r.value)
                      .with("request", w.request_id));
      // Applies the write locally at once, without waiting for the watch.
      asio::post(daemon.io, [this, w, version = r.value] {
        daemon.configuration.apply_objects(
          { { w.kind, w.name, version, w.remove, w.spec, w.request_id } });
      });
    }
    return r;
  }

  failure apply(const operators::apply_request& in,
                operators::apply_response& out)
  {
    const auto& d = in.declaration();
    if (auto error =
          configuration::check_declaration(d.kind(), d.name(), d.spec())) {
      return error;
    }
    const auto stored = daemon.platform.get(d.kind(), d.name());
    if (!stored && stored.error.kind != error_kind::not_found) {
      return stored.error;
    }
    if (stored && stored.value.request_id == in.request_id() &&
        !in.request_id().empty()) {
      out.set_version(stored.value.version);
      out.set_changed(true);
      return {};
    }
    if (stored && !stored.value.deleted && stored.value.spec == d.spec()) {
      out.set_version(stored.value.version);
      return {};
    }
    const auto written = put({ d.kind(),
                               d.name(),
                               in.expected_version(),
                               d.spec(),
                               in.request_id(),
                               false });
    out.set_version(written.value);
    out.set_changed(static_cast<bool>(written));
    return written.error;
  }

  failure get(const operators::get_request& in, operators::get_response& out)
  {
    const auto& kinds = configuration::declared_kinds();
    if (std::find(kinds.begin(), kinds.end(), in.kind()) == kinds.end()) {
      return { error_kind::bad_request, "kind '" + in.kind() + "'" };
    }
    if (!in.name().empty()) {
      const auto stored = daemon.platform.get(in.kind(), in.name());
      if (!stored) {
        return stored.error;
      }
      add(out, stored.value);
      return {};
    }
    const auto all = daemon.platform.changes(0, 0);
    for (const auto& o : all.value.objects) {
      if (o.kind == in.kind() && !o.deleted) {
        add(out, o);
      }
    }
    return all.error;
  }

  static void add(operators::get_response& out, const platform::object& o)
  {
    auto& d = *out.add_declarations();
    d.set_kind(o.kind);
    d.set_name(o.name);
    d.set_spec(o.spec);
    d.set_version(o.version);
    d.set_deleted(o.deleted);
  }

  failure remove(const operators::delete_request& in,
                 operators::apply_response& out)
  {
    const auto& kinds = configuration::declared_kinds();
    if (std::find(kinds.begin(), kinds.end(), in.kind()) == kinds.end()) {
      return { error_kind::bad_request, "kind '" + in.kind() + "'" };
    }
    const auto stored = daemon.platform.get(in.kind(), in.name());
    if (!stored) {
      return stored.error;
    }
    if (stored.value.deleted) {
      out.set_version(stored.value.version);
      return {};
    }
    const auto written = put({ in.kind(),
                               in.name(),
                               in.expected_version(),
                               stored.value.spec,
                               in.request_id(),
                               true });
    out.set_version(written.value);
    out.set_changed(static_cast<bool>(written));
    return written.error;
  }

  failure status(operators::status_response& out)
  {
    const auto current = view();
    out.set_configuration_version(current->version);
    out.set_security("off");
    for (const auto& [name, i] : *current->instances) {
      auto& line = *out.add_instances();
      line.set_id(name);
      line.set_role(i.value.role);
      line.set_data_centre(i.value.data_centre);
      line.set_serves(i.value.serves);
      line.set_state(i.value.state == configuration::instance_state::live
                       ? "live"
                       : "leaving");
    }
    for (const auto& [kind, count] :
         daemon.metrics.totals("refusals_total", "kind")) {
      auto& line = *out.add_refusals();
      line.set_kind(kind);
      line.set_count(count);
    }
    out.set_processes(static_cast<std::uint32_t>(current->instances->size()));
    const auto covered = covered_processes(*current);
    out.set_in_force(count_in_force(covered, current->version));
    for (const auto& [data_centre, d] : *current->drains) {
      auto& line = *out.add_drains();
      line.set_data_centre(data_centre);
      line.set_reason(d.value.reason);
      line.set_version(d.version);
      line.set_in_force(count_in_force(covered, d.version));
    }
    add_trainers(*current, out);
    return {};
  }

  // The root processes of each data centre's tree know which configuration the
  // processes below them have, so a few requests cover all processes.
  // Returns pairs of a version and the number of processes that have at least
  // this version.
  using coverage = std::vector<std::pair<std::uint64_t, std::uint32_t>>;

  coverage covered_processes(const configuration::snapshot& current)
  {
    coverage covered;
    for (const auto& peer : roots_of(current)) {
      const auto r =
        request_and_wait(peer, "/configuration", status_request_bytes());
      configuration::relay_message m;
      if (r && m.ParseFromString(r.value)) {
        covered.emplace_back(m.update().covered_version(),
                             m.update().covered_processes());
      }
    }
    return covered;
  }

  static std::uint32_t count_in_force(const coverage& covered,
                                      std::uint64_t version)
  {
    std::uint32_t count = 0;
    for (const auto& [covered_version, processes] : covered) {
      count += covered_version >= version ? processes : 0;
    }
    return count;
  }

  static std::string status_request_bytes()
  {
    configuration::relay_message m;
    m.mutable_report()->set_max_version(UINT64_MAX);
    return m.SerializeAsString();
  }

  static std::vector<std::string> roots_of(
    const configuration::snapshot& current)
  {
    std::vector<std::string> links;
    for (const auto& [name, i] : *current.instances) {
      const auto place = configuration::find_position(
        *current.instances, name, i.value.data_centre);
      if (place.is_watcher) {
        links.push_back(i.value.link);
      }
    }
    return links;
  }

  result<std::string> request_and_wait(const std::string& peer,
                                       const std::string& path,
                                       const std::string& request)
  {
    return run_on_io<result<std::string>>([=, this](auto done) {
      link::send_request(daemon.io,
                         daemon.links,
                         link::address_from(peer),
                         path,
                         request,
                         request_timeout_ms,
                         done);
    });
  }

  void add_trainers(const configuration::snapshot& current,
                    operators::status_response& out)
  {
    std::vector<std::string> entries;
    for (const auto& [trainer, t] : *current.trainers) {
      for (const auto& name : owner_candidates(current, trainer)) {
        if (std::find(entries.begin(), entries.end(), name) == entries.end()) {
          entries.push_back(name);
        }
      }
    }
    for (const auto& name : entries) {
      const auto& link = current.instances->at(name).value.link;
      const auto r = request_and_wait(link, "/rollout/status", "?");
      operators::status_response part;
      if (r && part.ParseFromString(r.value)) {
        for (auto& line : *part.mutable_trainers()) {
          line.set_owner(name);
          *out.add_trainers() = line;
        }
      }
    }
  }

  void serve(const link::stream_ptr& s)
  {
    const bool is_fetch = s->path() == "/rollout/fetch";
    s->on_message = [this, s, is_fetch](std::string_view m) {
      s->on_message = nullptr;
      if (!is_fetch) {
        link::reply(*s, local_status());
        return;
      }
      rollout::fetch_request r;
      if (!r.ParseFromArray(m.data(), static_cast<int>(m.size()))) {
        s->cancel();
        return;
      }
      local_owner.fetch(r, [s](const rollout::fetch_reply& reply) {
        link::reply(*s, reply.SerializeAsString());
      });
    };
  }

  std::string local_status() const
  {
    operators::status_response part;
    for (const auto& status : local_owner.status()) {
      auto& line = *part.add_trainers();
      line.set_name(status.trainer);
      line.set_fence(status.fence);
      line.set_step(status.step);
      line.set_received(status.received);
      line.set_step_size(status.step_size);
      line.set_weight_version(status.weight_version);
      line.set_staleness_mean(status.staleness_mean);
    }
    return part.SerializeAsString();
  }

  // gRPC does not say why it cannot listen.
  std::error_code bind_error() const
  {
    const auto at = http::endpoint_from(settings.rpc);
    asio::error_code ec;
    asio::ip::tcp::acceptor acceptor{ daemon.io };
    if (at) {
      acceptor.open(at->protocol(), ec);
    }
    if (at && !ec) {
      acceptor.set_option(asio::ip::tcp::acceptor::reuse_address{ true }, ec);
      acceptor.bind(*at, ec);
    }
    return ec;
  }

  std::error_code try_listen(std::uint16_t& bound)
  {
    if (const auto ec = bind_error()) {
      return ec;
    }
    grpc::ServerBuilder builder;
    int port = 0;
    builder.AddListeningPort(
      settings.rpc, grpc::InsecureServerCredentials(), &port);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.SetMaxReceiveMessageSize(max_rpc_message);
    builder.RegisterService(&trainer_api);
    builder.RegisterService(&operator_api);
    server = builder.BuildAndStart();
    if (!server || port == 0) {
      return std::make_error_code(http::endpoint_from(settings.rpc)
                                    ? std::errc::address_in_use
                                    : std::errc::invalid_argument);
    }
    bound = static_cast<std::uint16_t>(port);
    return {};
  }

  process::daemon& daemon;
  settings::entry_settings settings;
  owner& local_owner;
  trainers_service trainer_api;
  operators_service operator_api;
  std::unique_ptr<grpc::Server> server;
};

rpc_server::rpc_server(process::daemon& d,
                       const settings::entry_settings& s,
                       owner& o)
  : impl_{ std::make_unique<impl>(d, s, o) }
{
}

rpc_server::~rpc_server() = default;

failure
rpc_server::start()
{
  auto& i = *impl_;
  return i.daemon.listen("rpc", i.settings.rpc, [&i](std::uint16_t& port) {
    return i.try_listen(port);
  });
}

// Shuts the server down while the io thread still runs, as pending calls wait
// on that thread and would otherwise never end.
void
rpc_server::stop()
{
  if (impl_->server) {
    impl_->server->Shutdown(std::chrono::system_clock::now() +
                            std::chrono::seconds{ 2 });
  }
}

void
rpc_server::serve(const link::stream_ptr& s)
{
  impl_->serve(s);
}

} // namespace cactusford::entry

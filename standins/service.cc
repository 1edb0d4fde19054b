#include "standins/service.h"

#include "cactusford/timeline/event.h"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <chrono>

namespace cactusford::standins {

using nlohmann::json;

service::service(service_settings s)
  : settings_{ std::move(s) }
  , server_{ settings_.threads }
  , work_ms_{ settings_.work_ms }
{
}

service::~service()
{
  server_.stop();
}

int
service::start()
{
  server_.http.Post("/control/faults", [this](const auto& in, auto& out) {
    const auto body = json::parse(in.body, nullptr, false);
    work_ms_ = body.value("work_ms", work_ms_.load());
    out.set_content("{}", "application/json");
  });
  const auto run = [this](const httplib::Request& in, httplib::Response& out) {
    const auto id = in.get_header_value("X-Request-Id");
    timeline::log(timeline::event{ "service_executed" }
                    .with("service", settings_.name)
                    .with("id", id)
                    .with("path", in.path));
    std::this_thread::sleep_for(std::chrono::milliseconds{ work_ms_ });
    const auto hash = XXH3_64bits(in.body.data(), in.body.size());
    json body{ { "id", id }, { "run", ++runs_ }, { "echo", in.body } };
    if (in.path == "/score") {
      body = { { "score", static_cast<double>(hash % 1000) / 1000.0 } };
    }
    out.set_content(body.dump(), "application/json");
  };
  server_.http.Get(".*", run);
  server_.http.Post(".*", run);
  server_.http.Put(".*", run);
  return server_.start(settings_.address);
}

} // namespace cactusford::standins

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
  server_.http.Post(
    "/control/faults", [this](const auto& request, auto& response) {
      const auto body = json::parse(request.body, nullptr, false);
      work_ms_ = body.value("work_ms", work_ms_.load());
      response.set_content("{}", "application/json");
    });
  const auto handle = [this](const httplib::Request& request,
                             httplib::Response& response) {
    const auto id = request.get_header_value("X-Request-Id");
    timeline::log(timeline::event{ "service_executed" }
                    .with("service", settings_.name)
                    .with("id", id)
                    .with("path", request.path));
    std::this_thread::sleep_for(std::chrono::milliseconds{ work_ms_ });
    const auto hash = XXH3_64bits(request.body.data(), request.body.size());
    json body{ { "id", id }, { "run", ++runs_ }, { "echo", request.body } };
    if (request.path == "/score") {
      body = { { "score", static_cast<double>(hash % 1000) / 1000.0 } };
    }
    response.set_content(body.dump(), "application/json");
  };
  server_.http.Get(".*", handle);
  server_.http.Post(".*", handle);
  server_.http.Put(".*", handle);
  return server_.start(settings_.address);
}

} // namespace cactusford::standins

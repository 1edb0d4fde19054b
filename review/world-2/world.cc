#include "world.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <random>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review_2 {

namespace {

using clock_type = std::chrono::steady_clock;

const clock_type::time_point&
begin_of_case()
{
  static const auto begin = clock_type::now();
  return begin;
}

std::mutex&
record_mutex()
{
  static std::mutex m;
  return m;
}

std::ofstream&
record_file()
{
  static std::ofstream file;
  return file;
}

sockaddr_in
endpoint_of(const std::string& address)
{
  const auto colon = address.rfind(':');
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port =
    htons(static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1))));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &at.sin_addr);
  return at;
}

bool
same_name(const std::string& a, const std::string& b)
{
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
           return std::tolower(static_cast<unsigned char>(x)) ==
                  std::tolower(static_cast<unsigned char>(y));
         });
}

// Waits until the socket can be read. Returns false after the time.
bool
wait_readable(int socket, std::uint64_t ms)
{
  pollfd p{ socket, POLLIN, 0 };
  return ::poll(&p, 1, static_cast<int>(ms)) > 0;
}

bool
send_all(int socket, const std::string& bytes)
{
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const auto n =
      ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

// Splits a head into its first line and its fields.
std::string
parse_head(const std::string& head, message& to)
{
  std::string first;
  std::size_t at = 0;
  while (at < head.size()) {
    const auto end = std::min(head.find("\r\n", at), head.size());
    const auto line = head.substr(at, end - at);
    at = end + 2;
    const auto colon = line.find(':');
    if (first.empty()) {
      first = line;
    } else if (colon != std::string::npos) {
      auto value = line.substr(colon + 1);
      value.erase(0, value.find_first_not_of(' '));
      to.fields.emplace_back(line.substr(0, colon), value);
    }
  }
  return first;
}

std::string
head_of(const std::string& first,
        const std::vector<std::pair<std::string, std::string>>& fields)
{
  std::string text = first + "\r\n";
  for (const auto& [name, value] : fields) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  return text;
}

} // namespace

std::uint64_t
now_ms()
{
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(clock_type::now() -
                                                          begin_of_case())
      .count());
}

void
sleep_ms(std::uint64_t ms)
{
  std::this_thread::sleep_for(std::chrono::milliseconds{ ms });
}

bool
wait_for(std::uint64_t ms, const std::function<bool()>& is_met)
{
  const auto until = now_ms() + ms;
  while (!is_met()) {
    if (now_ms() >= until) {
      return false;
    }
    sleep_ms(5);
  }
  return true;
}

bool
has_trouble()
{
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::string{ text } != "0";
}

void
open_record(const std::string& path)
{
  record_file().open(path, std::ios::trunc);
}

void
note(const std::string& line)
{
  const std::lock_guard lock{ record_mutex() };
  record_file() << now_ms() << " ms  " << line << "\n" << std::flush;
}

std::string
free_address()
{
  // Below the range of outgoing connections, which could take a port before its
  // process listens.
  constexpr int first_port = 12000;
  constexpr int last_port = 31000;
  static std::mutex m;
  static std::mt19937 random{ std::random_device{}() };
  static std::vector<std::string> given;
  const std::lock_guard lock{ m };
  std::uniform_int_distribution<> ports{ first_port, last_port };
  while (true) {
    const auto address = "127.0.0.1:" + std::to_string(ports(random));
    if (std::find(given.begin(), given.end(), address) != given.end()) {
      continue;
    }
    const int s = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto at = endpoint_of(address);
    const bool is_free =
      ::bind(s, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0;
    ::close(s);
    if (is_free) {
      given.push_back(address);
      return address;
    }
  }
}

std::string
message::field(const std::string& name) const
{
  for (const auto& [key, value] : fields) {
    if (same_name(key, name)) {
      return value;
    }
  }
  return {};
}

message
call(const std::string& address,
     const std::string& method,
     const std::string& target,
     const std::vector<std::pair<std::string, std::string>>& fields,
     const std::string& body,
     std::uint64_t timeout_ms)
{
  message answer;
  const auto until = now_ms() + timeout_ms;
  const int s = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const auto at = endpoint_of(address);
  timeval limit{ static_cast<time_t>(timeout_ms / 1000 + 1), 0 };
  ::setsockopt(s, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  std::string text;
  if (::connect(s, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0 &&
      send_all(s,
               head_of(method + " " + target + " HTTP/1.1", fields) +
                 "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                 body)) {
    std::array<char, 65536> buffer{};
    std::size_t need = std::string::npos;
    std::size_t head_end = std::string::npos;
    while (now_ms() < until && text.size() < need &&
           wait_readable(s, until - now_ms())) {
      const auto n = ::recv(s, buffer.data(), buffer.size(), 0);
      if (n <= 0) {
        break;
      }
      text.append(buffer.data(), static_cast<std::size_t>(n));
      if (head_end == std::string::npos) {
        head_end = text.find("\r\n\r\n");
        if (head_end != std::string::npos) {
          const auto first = parse_head(text.substr(0, head_end), answer);
          answer.status = std::atoi(first.substr(9, 3).c_str());
          need =
            head_end + 4 +
            std::strtoul(answer.field("Content-Length").c_str(), nullptr, 10);
        }
      }
    }
    if (text.size() >= need) {
      answer.is_complete = true;
      answer.body = text.substr(head_end + 4);
    }
  }
  ::close(s);
  return answer;
}

peer::peer(int socket)
  : socket_{ socket }
{
}

peer::~peer() = default;

bool
peer::read_request(message& to)
{
  to = {};
  std::array<char, 65536> chunk{};
  std::size_t need = std::string::npos;
  std::size_t head_end = std::string::npos;
  while (true) {
    if (head_end == std::string::npos) {
      head_end = buffer_.find("\r\n\r\n");
      if (head_end != std::string::npos) {
        const auto first = parse_head(buffer_.substr(0, head_end), to);
        const auto blank = first.find(' ');
        to.method = first.substr(0, blank);
        to.target = first.substr(blank + 1, first.rfind(' ') - blank - 1);
        need = head_end + 4 +
               std::strtoul(to.field("Content-Length").c_str(), nullptr, 10);
      }
    }
    if (buffer_.size() >= need) {
      to.body = buffer_.substr(head_end + 4, need - head_end - 4);
      buffer_.erase(0, need);
      to.is_complete = true;
      return true;
    }
    const auto n = ::recv(socket_, chunk.data(), chunk.size(), 0);
    if (n <= 0) {
      return false;
    }
    buffer_.append(chunk.data(), static_cast<std::size_t>(n));
  }
}

bool
peer::write(const std::string& bytes)
{
  return send_all(socket_, bytes);
}

void
peer::respond(int status,
              const std::vector<std::pair<std::string, std::string>>& fields,
              const std::string& body)
{
  write(head_of("HTTP/1.1 " + std::to_string(status) + " Status", fields) +
        "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

bool
peer::is_closed() const
{
  char c = 0;
  const auto n = ::recv(socket_, &c, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

http_server::http_server(std::string address, handler h)
  : address_{ std::move(address) }
  , handle_{ std::move(h) }
{
  listen();
}

http_server::~http_server()
{
  crash();
  wait_for(5000, [this] { return serving_ == 0; });
}

void
http_server::listen()
{
  socket_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const auto at = endpoint_of(address_);
  if (::bind(socket_, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 ||
      ::listen(socket_, 512) != 0) {
    note("cannot listen at " + address_);
    std::exit(2);
  }
  is_up_ = true;
  thread_ = std::thread{ [this] { accept(); } };
}

void
http_server::accept()
{
  while (is_up_) {
    if (!wait_readable(socket_, 20)) {
      continue;
    }
    const int s = ::accept4(socket_, nullptr, nullptr, SOCK_CLOEXEC);
    if (s < 0) {
      continue;
    }
    const int on = 1;
    ::setsockopt(s, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    {
      const std::lock_guard lock{ mutex_ };
      open_.push_back(s);
    }
    ++serving_;
    std::thread{ [this, s] { serve(s); } }.detach();
  }
}

void
http_server::serve(int socket)
{
  {
    peer p{ socket };
    message r;
    while (p.read_request(r) && handle_(p, r)) {
    }
  }
  {
    const std::lock_guard lock{ mutex_ };
    std::erase(open_, socket);
    ::close(socket);
  }
  --serving_;
}

void
http_server::crash()
{
  if (!is_up_.exchange(false)) {
    return;
  }
  thread_.join();
  ::close(socket_);
  const std::lock_guard lock{ mutex_ };
  const linger l{ 1, 0 };
  for (const int s : open_) {
    ::setsockopt(s, SOL_SOCKET, SO_LINGER, &l, sizeof l);
    ::shutdown(s, SHUT_RDWR);
  }
}

void
http_server::restart()
{
  listen();
}

object_store::object_store()
  : server_{ std::make_unique<http_server>(
      free_address(),
      [this](peer& p, const message& r) { return handle(p, r); }) }
{
}

bool
object_store::handle(peer& p, const message& r)
{
  const auto [status, body] = perform(r);
  if (r.method != "GET") {
    note("store: " + r.method + " " + r.target + ", " + std::to_string(status));
  }
  if (loses_answer && loses_answer(r)) {
    message ignored;
    while (p.read_request(ignored)) {
    }
    return false;
  }
  p.respond(status, { { "Content-Type", "application/json" } }, body.dump());
  return true;
}

namespace {

std::string
query_value(const std::string& target, const std::string& key)
{
  auto at = target.find('?');
  while (at != std::string::npos) {
    const auto end = target.find('&', at + 1);
    const auto pair = target.substr(at + 1, end - at - 1);
    if (pair.starts_with(key + "=")) {
      return pair.substr(key.size() + 1);
    }
    at = end;
  }
  return {};
}

std::uint64_t
number_or(const std::string& text, std::uint64_t otherwise)
{
  return text.empty() ? otherwise : std::strtoull(text.c_str(), nullptr, 10);
}

} // namespace

std::pair<int, json>
object_store::perform(const message& r)
{
  const std::string prefix = "/-/objects/";
  const auto path = r.target.substr(0, r.target.find('?'));
  if (!path.starts_with(prefix)) {
    return { 404, json::object() };
  }
  const auto rest = path.substr(prefix.size());
  const auto slash = rest.find('/');
  const auto kind = rest.substr(0, slash);
  auto name = slash == std::string::npos ? "" : rest.substr(slash + 1);
  const std::string status_suffix = "/status";
  const bool is_status = name.ends_with(status_suffix);
  if (is_status) {
    name.erase(name.size() - status_suffix.size());
  }
  const auto since = query_value(r.target, "Watch");
  if (r.method == "GET" && name.empty() && !since.empty()) {
    return watch(
      kind, number_or(since, 0), number_or(query_value(r.target, "WaitMs"), 0));
  }
  if (r.method == "GET" && name.empty()) {
    return list(kind, query_value(r.target, "After"));
  }
  const std::lock_guard lock{ mutex_ };
  auto& all = kinds_[kind];
  const auto found = all.find(name);
  if (r.method == "GET") {
    return found == all.end() ? std::pair{ 404, json::object() }
                              : std::pair{ 200, found->second };
  }
  if (r.method == "DELETE") {
    if (found == all.end()) {
      return { 404, json::object() };
    }
    const auto gone = found->second;
    all.erase(found);
    ++revision_;
    record(kind, gone, true);
    return { 200, gone };
  }
  const auto body = json::parse(r.body, nullptr, false);
  if (!body.is_object()) {
    return { 400, json::object() };
  }
  const auto metadata = body.value("Metadata", json::object());
  if (r.method == "POST") {
    const auto created = metadata.value("Name", "");
    if (const auto known = all.find(created); known != all.end()) {
      return { 409, known->second };
    }
    ++revision_;
    json object{ { "Metadata",
                   { { "Name", created },
                     { "Revision", revision_ },
                     { "Created", revision_ },
                     { "Finalizers", json::array() },
                     { "Deleting", false } } },
                 { "Spec", body.value("Spec", json{}) },
                 { "Status", json{} } };
    all[created] = object;
    record(kind, object, false);
    return { 201, object };
  }
  if (found == all.end()) {
    return { 404, json::object() };
  }
  auto& object = found->second;
  const auto expected = metadata.value("Revision", std::uint64_t{ 0 });
  if (expected != 0 && expected != object["Metadata"]["Revision"]) {
    return { 409, object };
  }
  const auto* part = is_status ? "Status" : "Spec";
  if (object[part] != body.value(part, json{})) {
    object[part] = body.value(part, json{});
    object["Metadata"]["Revision"] = ++revision_;
    record(kind, object, false);
  }
  return { 200, object };
}

std::pair<int, json>
object_store::list(const std::string& kind, const std::string& after)
{
  constexpr std::size_t page_objects = 500;
  constexpr std::size_t page_bytes = 1U << 20;
  const std::lock_guard lock{ mutex_ };
  auto items = json::array();
  std::size_t bytes = 0;
  bool more = false;
  for (const auto& [name, object] : kinds_[kind]) {
    if (!after.empty() && name <= after) {
      continue;
    }
    if (items.size() == page_objects || bytes > page_bytes) {
      more = true;
      break;
    }
    bytes += object.dump().size();
    items.push_back(object);
  }
  return {
    200, { { "Items", items }, { "MorePages", more }, { "AsOf", revision_ } }
  };
}

std::pair<int, json>
object_store::watch(const std::string& kind,
                    std::uint64_t since,
                    std::uint64_t wait_ms)
{
  std::unique_lock lock{ mutex_ };
  auto events = json::array();
  changed_.wait_for(lock, std::chrono::milliseconds{ wait_ms }, [&] {
    for (const auto& c : history_) {
      if (c.revision > since && c.kind == kind) {
        events.push_back({ { "Object", c.object }, { "Deleted", c.deleted } });
      }
    }
    return !events.empty();
  });
  return { 200, { { "events", events }, { "AsOf", revision_ } } };
}

// The caller holds the mutex.
void
object_store::record(const std::string& kind, const json& object, bool deleted)
{
  history_.push_back({ revision_, kind, object, deleted });
  changed_.notify_all();
}

std::uint64_t
object_store::put(const std::string& kind,
                  const std::string& name,
                  const json& spec)
{
  const std::lock_guard lock{ mutex_ };
  auto& all = kinds_[kind];
  auto& object = all[name];
  ++revision_;
  if (object.is_null()) {
    object = { { "Metadata",
                 { { "Name", name },
                   { "Created", revision_ },
                   { "Finalizers", json::array() },
                   { "Deleting", false } } },
               { "Status", json{} } };
  }
  object["Metadata"]["Revision"] = revision_;
  object["Spec"] = spec;
  record(kind, object, false);
  return revision_;
}

std::uint64_t
object_store::remove(const std::string& kind, const std::string& name)
{
  const std::lock_guard lock{ mutex_ };
  auto& all = kinds_[kind];
  const auto found = all.find(name);
  if (found != all.end()) {
    const auto gone = found->second;
    all.erase(found);
    ++revision_;
    record(kind, gone, true);
  }
  return revision_;
}

json
object_store::get(const std::string& kind, const std::string& name)
{
  const std::lock_guard lock{ mutex_ };
  const auto& all = kinds_[kind];
  const auto found = all.find(name);
  return found == all.end() ? json{} : found->second;
}

process::process(std::string program, json settings, const std::string& folder)
  : program_{ std::move(program) }
  , settings_(std::move(settings))
  , base_{ folder + "/" + settings_.at("instance").get<std::string>() }
{
}

process::~process()
{
  if (is_running()) {
    ::kill(pid_, SIGKILL);
    wait_end(5000);
  }
}

void
process::start()
{
  const auto path = base_ + ".json";
  std::ofstream{ path } << settings_.dump(2) << "\n";
  const auto log = base_ + ".log";
  pid_ = ::fork();
  if (pid_ == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out =
      ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    ::dup2(out, STDOUT_FILENO);
    ::dup2(out, STDERR_FILENO);
    ::execl(program_.c_str(),
            program_.c_str(),
            "--settings",
            path.c_str(),
            static_cast<char*>(nullptr));
    ::_exit(127);
  }
  note("started " + name() + " as process " + std::to_string(pid_));
}

void
process::signal(int number)
{
  note("signal " + std::to_string(number) + " to " + name());
  ::kill(pid_, number);
}

bool
process::is_running()
{
  if (pid_ > 0 && ::waitpid(pid_, &status_, WNOHANG) == pid_) {
    note(name() + " has ended, wait status " + std::to_string(status_));
    pid_ = -1;
  }
  return pid_ > 0;
}

bool
process::wait_end(std::uint64_t ms)
{
  return wait_for(ms, [this] { return !is_running(); });
}

json
entry_settings(const std::string& name,
               const std::string& zone,
               const std::string& store)
{
  return { { "instance", name },
           { "data_centre", zone },
           { "callers", free_address() },
           { "ready", free_address() },
           { "peer", free_address() },
           { "metrics", free_address() },
           { "store", store },
           { "capacity", 0.19 },
           { "memory_mb", 260 },
           { "keep_batches_s", 120 },
           { "in_force_ms", 2000 },
           { "usage_reports", "" },
           { "regions",
             { { "hall-a", "cymru-south" },
               { "hall-b", "cymru-south" },
               { "hall-c", "cymru-south" } } },
           { "tolerated_data_centres", 0 },
           { "grace_s", 8 },
           { "peers", json::array() } };
}

temporary_folder::temporary_folder()
{
  auto name =
    (std::filesystem::temp_directory_path() / "review-2-XXXXXX").string();
  path_ = ::mkdtemp(name.data());
}

temporary_folder::~temporary_folder()
{
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
}

std::string
encode_base64(const std::string& bytes)
{
  constexpr std::string_view digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t at = 0; at < bytes.size(); at += 3) {
    std::uint32_t bits = 0;
    const auto count = std::min<std::size_t>(3, bytes.size() - at);
    for (std::size_t i = 0; i < 3; ++i) {
      bits <<= 8U;
      bits |= i < count ? static_cast<unsigned char>(bytes[at + i]) : 0U;
    }
    for (std::size_t i = 0; i < 4; ++i) {
      text += i <= count ? digits[(bits >> (18 - 6 * i)) & 63U] : '=';
    }
  }
  return text;
}

} // namespace review_2

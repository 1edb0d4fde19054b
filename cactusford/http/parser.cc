#include "cactusford/http/parser.h"

#include "cactusford/http/line_checker.h"

#include <http_parser.h>

#include <algorithm>
#include <limits>
#include <optional>

namespace cactusford::http {

namespace {

// Bytes of a field on the wire that belong to neither its name nor its value.
constexpr std::size_t field_overhead = 4;

} // namespace

std::size_t
memory_of(const headers& fields) noexcept
{
  std::size_t sum = fields.capacity() * sizeof(header);
  for (const auto& f : fields) {
    sum += f.name.size() + f.value.size();
  }
  return sum;
}

struct parser::impl
{
  http_parser raw{};
  parser_callbacks callbacks;
  head current;
  bool last_was_value = false;
  bool is_inside = false;
  bool malformed = false;
  bool paused = false;
  bool in_head = false;
  std::size_t head_bytes = 0;
  // Text of the fields of the current head.
  std::size_t field_text = 0;
  // The line that is being read; none inside a body.
  std::optional<checked_line> line;
  // An empty line stands before the next request line.
  bool has_empty_line = false;

  static impl& of(http_parser* p) { return *static_cast<impl*>(p->data); }

  int pause_unless(bool should_continue)
  {
    if (!should_continue) {
      paused = true;
      http_parser_pause(&raw, 1);
    }
    return 0;
  }

  // A trailer would grow without a bound, as the head is complete already. No
  // handler reads it, so it is only counted.
  void count_trailer(std::string_view part, std::size_t overhead)
  {
    head_bytes += part.size() + overhead;
  }

  void begin_line(line_kind kind) { line = checked_line{ kind }; }

  void begin_start_line()
  {
    has_empty_line = false;
    begin_line(raw.type == HTTP_REQUEST ? line_kind::request_line
                                        : line_kind::status_line);
  }

  std::size_t next_part(std::string_view bytes);
  void begin_next_part();
  void on_line_end(const checked_line& ended);

  void add_name(std::string_view part)
  {
    field_text += part.size();
    if (last_was_value || current.fields.empty()) {
      current.fields.emplace_back();
      last_was_value = false;
    }
    current.fields.back().name += part;
  }

  void add_value(std::string_view part)
  {
    field_text += part.size();
    last_was_value = true;
    current.fields.back().value += part;
  }
};

namespace {

constexpr int go_on = 0;

constexpr int skip_body = 1;
constexpr int reject_head = -1;

constexpr auto no_length = std::numeric_limits<std::uint64_t>::max();

constexpr unsigned first_final_status = 200;
constexpr unsigned switching_protocols = 101;
constexpr unsigned no_content = 204;
constexpr unsigned not_modified = 304;

bool
is_chunked(const http_parser& p)
{
  return (p.flags & F_CHUNKED) != 0;
}

// RFC 9112, 6.3: a response with neither a length nor chunks ends with the
// connection, unless its status has no body.
bool
is_close_delimited(const http_parser& p)
{
  const bool has_body = p.status_code >= first_final_status &&
                        p.status_code != no_content &&
                        p.status_code != not_modified;
  return has_body && !is_chunked(p) && p.content_length == no_length;
}

std::string_view
without_trailing_blanks(std::string_view text)
{
  return text.substr(0, text.find_last_not_of(" \t") + 1);
}

// Chunks are the only coding that is read. A body under another one, or under
// several, would be passed on as it is coded.
bool
is_coding_known(const http_parser& p, const head& h)
{
  std::size_t count = 0;
  bool is_known = true;
  for (const auto& f : h.fields) {
    if (same_name(f.name, "Transfer-Encoding")) {
      ++count;
      is_known = same_name(without_trailing_blanks(f.value), "chunked");
    }
  }
  return count == 0 || (count == 1 && is_known && is_chunked(p));
}

// Returns false if a response of this status would have a body that RFC 9110
// does not allow, so that its end is not known, or switches the protocol, which
// no request asks for.
bool
is_framing_allowed(const http_parser& p)
{
  const bool is_interim = p.status_code < first_final_status;
  if (p.status_code == switching_protocols) {
    return false;
  }
  const bool has_body =
    is_chunked(p) || (p.content_length != no_length && p.content_length > 0);
  return !has_body || !(is_interim || p.status_code == no_content);
}

bool
is_head_allowed(const http_parser& p, const head& h)
{
  const bool is_known_version =
    p.http_major == 1 && (p.http_minor == 1 || !is_chunked(p));
  return is_known_version && is_coding_known(p, h) &&
         (p.type == HTTP_REQUEST || is_framing_allowed(p));
}

} // namespace

parser::parser(parser_kind kind, parser_callbacks callbacks)
  : impl_{ std::make_unique<impl>() }
{
  impl_->callbacks = std::move(callbacks);
  http_parser_init(&impl_->raw,
                   kind == parser_kind::request ? HTTP_REQUEST : HTTP_RESPONSE);
  impl_->raw.data = impl_.get();
  impl_->begin_start_line();
}

parser::~parser() = default;

namespace {

template<typename Impl>
const http_parser_settings&
parser_settings()
{
  static const http_parser_settings settings = [] {
    http_parser_settings s;
    http_parser_settings_init(&s);
    s.on_message_begin = [](http_parser* p) {
      auto& self = Impl::of(p);
      self.current = {};
      self.last_was_value = false;
      self.is_inside = true;
      self.in_head = true;
      self.head_bytes = 0;
      self.field_text = 0;
      return go_on;
    };
    s.on_url = [](http_parser* p, const char* at, std::size_t size) {
      Impl::of(p).current.target.append(at, size);
      return go_on;
    };
    s.on_header_field = [](http_parser* p, const char* at, std::size_t size) {
      auto& self = Impl::of(p);
      if (self.in_head) {
        self.add_name({ at, size });
      } else {
        self.count_trailer({ at, size }, field_overhead);
      }
      return go_on;
    };
    s.on_header_value = [](http_parser* p, const char* at, std::size_t size) {
      auto& self = Impl::of(p);
      if (self.in_head) {
        self.add_value({ at, size });
      } else {
        self.count_trailer({ at, size }, 0);
      }
      return go_on;
    };
    s.on_headers_complete = [](http_parser* p) {
      auto& self = Impl::of(p);
      if (!is_head_allowed(*p, self.current)) {
        return reject_head;
      }
      if (p->type == HTTP_REQUEST) {
        self.current.method =
          http_method_str(static_cast<http_method>(p->method));
      } else {
        self.current.status = static_cast<int>(p->status_code);
        self.current.is_close_delimited = is_close_delimited(*p);
      }
      self.current.keep_alive = http_should_keep_alive(p) != 0;
      self.in_head = false;
      self.head_bytes = 0;
      self.field_text = 0;
      // The length that comes with this status is that of another response.
      const bool is_without_body =
        p->type == HTTP_RESPONSE && p->status_code == not_modified;
      self.pause_unless(self.callbacks.on_head(std::move(self.current)));
      return is_without_body ? skip_body : go_on;
    };
    s.on_body = [](http_parser* p, const char* at, std::size_t size) {
      auto& self = Impl::of(p);
      return self.pause_unless(self.callbacks.on_body({ at, size }));
    };
    s.on_message_complete = [](http_parser* p) {
      auto& self = Impl::of(p);
      self.is_inside = false;
      self.head_bytes = 0;
      return self.pause_unless(self.callbacks.on_end());
    };
    return s;
  }();
  return settings;
}

} // namespace

// Returns how many bytes belong to the current line, or to the body.
std::size_t
parser::impl::next_part(std::string_view bytes)
{
  if (line) {
    return check(*line, bytes);
  }
  return static_cast<std::size_t>(
    std::min<std::uint64_t>(bytes.size(), raw.content_length));
}

void
parser::impl::on_line_end(const checked_line& ended)
{
  const bool is_empty = ended.state == line_state::ended_empty;
  switch (ended.kind) {
    case line_kind::request_line:
      // RFC 9112, 2.2: one empty line may precede a request.
      malformed = malformed || (is_empty && has_empty_line);
      has_empty_line = is_empty;
      begin_line(is_empty ? line_kind::request_line : line_kind::field);
      return;
    case line_kind::status_line:
      begin_line(line_kind::field);
      return;
    case line_kind::field:
      if (!is_empty) {
        begin_line(line_kind::field);
      } else if (is_chunked(raw)) {
        begin_line(line_kind::chunk_size);
      } else {
        line.reset();
      }
      return;
    case line_kind::chunk_size:
      if (raw.content_length == 0) {
        begin_line(line_kind::field);
      } else {
        line.reset();
      }
      return;
    case line_kind::chunk_end:
      begin_line(line_kind::chunk_size);
      return;
  }
}

// Called when the bytes of a part have been parsed.
void
parser::impl::begin_next_part()
{
  const bool is_start = line && (line->kind == line_kind::request_line ||
                                 line->kind == line_kind::status_line);
  if (!is_inside && !is_start) {
    begin_start_line();
  } else if (line && line->state != line_state::open) {
    on_line_end(*line);
  } else if (!line && is_chunked(raw) && raw.content_length == 0) {
    begin_line(line_kind::chunk_end);
  }
}

std::size_t
parser::feed(std::string_view bytes)
{
  std::size_t consumed = 0;
  while (consumed < bytes.size() && state() == parse_state::parsing) {
    const auto rest = bytes.substr(consumed);
    const auto part = rest.substr(0, impl_->next_part(rest));
    if (impl_->line && impl_->line->state == line_state::malformed) {
      impl_->malformed = true;
      break;
    }
    const auto size = http_parser_execute(
      &impl_->raw, &parser_settings<impl>(), part.data(), part.size());
    consumed += size;
    const auto error = HTTP_PARSER_ERRNO(&impl_->raw);
    if (impl_->raw.upgrade != 0 || (error != HPE_OK && error != HPE_PAUSED)) {
      impl_->malformed = true;
    }
    if (impl_->in_head) {
      impl_->head_bytes += size;
    }
    impl_->begin_next_part();
  }
  return consumed;
}

bool
parser::feed_end()
{
  if (impl_->malformed || !impl_->is_inside) {
    return false;
  }
  http_parser_execute(&impl_->raw, &parser_settings<impl>(), "", 0);
  return !impl_->is_inside;
}

void
parser::resume()
{
  impl_->paused = false;
  http_parser_pause(&impl_->raw, 0);
}

parse_state
parser::state() const
{
  if (impl_->malformed) {
    return parse_state::malformed;
  }
  return impl_->paused ? parse_state::paused : parse_state::parsing;
}

std::size_t
parser::head_bytes() const
{
  return impl_->head_bytes;
}

std::size_t
parser::head_memory() const
{
  const auto& fields = impl_->current.fields;
  return impl_->in_head ? fields.capacity() * sizeof(header) +
                            impl_->field_text + impl_->current.target.size()
                        : 0;
}

bool
parser::inside_message() const
{
  return impl_->is_inside;
}

} // namespace cactusford::http

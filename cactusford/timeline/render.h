// Renders merged events as text, as a Chrome trace or as an HTML page. Pure
// functions.
#pragma once

#include "cactusford/timeline/event.h"

#include <string>
#include <vector>

namespace cactusford::timeline {

// Returns the events of the request or the sample, or all events if both are
// empty.
std::vector<record>
select(const std::vector<record>& records,
       const std::string& request,
       const std::string& sample);

std::string
to_text(const std::vector<record>& records);

// Returns JSON in the Trace Event Format of Chrome's trace viewer and Perfetto.
std::string
to_trace(const std::vector<record>& records);

// Returns a self-contained page with zoom and filters.
std::string
to_html(const std::vector<record>& records);

} // namespace cactusford::timeline

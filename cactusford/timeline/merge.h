// Shows merged events: as text, as a Chrome trace, as a page. Pure.
#pragma once

#include "cactusford/timeline/event.h"

#include <string>
#include <vector>

namespace cactusford::timeline {

// Events that name the request or the sample; all when both are empty.
std::vector<record>
select(const std::vector<record>& records,
       const std::string& request,
       const std::string& sample);

std::string
to_text(const std::vector<record>& records);

// JSON in the Trace Event Format of Chrome's viewer and Perfetto.
std::string
to_trace(const std::vector<record>& records);

// A page of its own that zooms and filters.
std::string
to_html(const std::vector<record>& records);

} // namespace cactusford::timeline

// Log events of logging itself (1200-1299). Catalogue: docs/EVENTS.md.
#pragma once

#include "common/logging/event_log.h"

namespace juniperway::logging {

inline constexpr EventType kLinesDropped{1200, "log_lines_dropped",
                                         Severity::kWarning};

}  // namespace juniperway::logging

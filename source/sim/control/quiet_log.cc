#include "sim/control/quiet_log.h"

#include <glog/logging.h>

namespace juniperway::sim {

QuietLog::QuietLog() : previous_level_(FLAGS_minloglevel) {
  FLAGS_minloglevel = google::GLOG_FATAL;
}

QuietLog::~QuietLog() { FLAGS_minloglevel = previous_level_; }

}  // namespace juniperway::sim

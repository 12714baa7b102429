// What a router tells control of a request under which back ends ended.
#pragma once

#include <string>
#include <vector>

#include "common/base/request_fingerprint.h"

namespace juniperway::session {

struct CrashReport {
  RequestFingerprint request;
  // Ids.
  std::vector<std::string> ended_backends;
  // A back end has run the request and went on: it is not to blame.
  bool survived = false;
};

}  // namespace juniperway::session

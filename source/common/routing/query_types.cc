#include "common/routing/query_types.h"

namespace juniperway::routing {

std::string_view MissingReasonName(MissingReason reason) {
  switch (reason) {
    case MissingReason::kDeadline:
      return "deadline";
    case MissingReason::kShed:
      return "shed";
    case MissingReason::kLost:
      return "lost";
    case MissingReason::kDraining:
      return "draining";
    case MissingReason::kWrongSnapshot:
      return "wrong_snapshot";
    case MissingReason::kUnreachable:
      return "unreachable";
  }
  return "unreachable";
}

}  // namespace juniperway::routing

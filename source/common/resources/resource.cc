#include "common/resources/resource.h"

namespace juniperway::resources {

std::string_view KindName(Kind kind) {
  switch (kind) {
    case Kind::kService:
      return "Service";
    case Kind::kBackend:
      return "Backend";
    case Kind::kIndexSnapshot:
      return "IndexSnapshot";
    case Kind::kMachine:
      return "Machine";
  }
  return "Unknown";
}

}  // namespace juniperway::resources

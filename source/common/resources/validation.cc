#include "common/resources/validation.h"

#include <set>
#include <string>

namespace juniperway::resources {
namespace {

tl::unexpected<Error> Invalid(std::string field, std::string message) {
  return MakeError(ErrorCode::kInvalidArgument, std::move(field),
                   std::move(message));
}

Result<void> CheckDeadlines(const Service& service) {
  if (service.maximum_deadline < service.minimum_deadline) {
    return Invalid("spec.maximum_deadline_ms",
                   "must not be below minimum_deadline_ms");
  }
  if (service.default_deadline < service.minimum_deadline ||
      service.default_deadline > service.maximum_deadline) {
    return Invalid("spec.default_deadline_ms",
                   "must lie between minimum_deadline_ms and "
                   "maximum_deadline_ms");
  }
  if (service.soft_deadline > service.maximum_deadline) {
    return Invalid("spec.soft_deadline_ms",
                   "must not be above maximum_deadline_ms");
  }
  return {};
}

Result<void> CheckRequestClasses(const Service& service) {
  if (service.request_classes.empty()) {
    return Invalid("spec.request_classes", "must name at least one class");
  }
  std::set<std::string> names;
  for (std::size_t i = 0; i < service.request_classes.size(); ++i) {
    if (!names.insert(service.request_classes[i].name).second) {
      return Invalid("spec.request_classes[" + std::to_string(i) + "].name",
                     "is given twice");
    }
  }
  return {};
}

}  // namespace

Result<void> CheckService(const Service& service) {
  if (auto result = CheckDeadlines(service); !result) {
    return result;
  }
  return CheckRequestClasses(service);
}

Result<void> CheckPartitions(const IndexSnapshot& snapshot) {
  Key expected_begin = 0;
  for (std::size_t i = 0; i < snapshot.partitions.size(); ++i) {
    const KeyRange& range = snapshot.partitions[i].range;
    const std::string path = "spec.partitions[" + std::to_string(i) + "]";
    if (range.begin != expected_begin) {
      return Invalid(path + ".begin", "must be " +
                                          std::to_string(expected_begin) +
                                          ", where the one before ends");
    }
    if (range.empty()) {
      return Invalid(path + ".end", "must be above begin");
    }
    expected_begin = range.end;
  }
  if (expected_begin != kKeySpaceEnd) {
    return Invalid("spec.partitions",
                   "must cover all keys up to " + std::to_string(kKeySpaceEnd));
  }
  return {};
}

}  // namespace juniperway::resources

// Records which items of the fleet changed at which revision, as the source of
// updates and watches from a given revision. ControlState owns it. Snapshots do
// not contain the log; after a restart from a snapshot it begins at the
// revision of the snapshot. The number of items bounds its size.
#pragma once

#include <compare>
#include <cstddef>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/base/request_fingerprint.h"
#include "common/resources/resource.h"

namespace juniperway::control {

// Maximum number of items in the log. When the log contains more, it drops its
// oldest revisions.
inline constexpr std::size_t kMaximumLoggedItems = 65536;

// Identifies an item of the state that daemons see.
struct FleetItem {
  enum class Kind {
    kResource,
    kMember,
    kReport,
    kServing,
    kRouteTable,
    kDiscovered,
    kEvacuation,
    kCrashingRequest,
    kRollout
  };
  Kind kind = Kind::kResource;
  // Used for kResource only.
  resources::Kind resource_kind = resources::Kind::kService;
  // Name of the resource, daemon, backend, service (also for kServing and
  // kRollout) or zone; id of a discovered backend.
  std::string name;
  // Used for kCrashingRequest only.
  RequestFingerprint request{};
  // Used for index snapshots only, which daemons identify by service and
  // version.
  std::string service;
  resources::IndexVersion index_version = 0;

  // clang-tidy 14 takes the defaulted comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const FleetItem&) const = default;
};

// Makes an item that its kind and name identify, which holds for all kinds
// except kResource and kCrashingRequest.
FleetItem NamedItem(FleetItem::Kind kind, const std::string& name);

// Changes of the most recent revisions, oldest first.
class RevisionLog {
 public:
  explicit RevisionLog(std::size_t capacity = kMaximumLoggedItems)
      : capacity_(capacity) {}

  // Drops all records. The next record must follow `revision`.
  void Reset(resources::Revision revision);

  // Records the items that changed at `revision`, which must follow the last
  // recorded revision.
  void Record(resources::Revision revision, std::vector<FleetItem> items);

  // Returns all items that changed after `from`, or nullopt when the log does
  // not reach back to `from`.
  std::optional<std::set<FleetItem>> ItemsSince(resources::Revision from) const;

 private:
  struct Change {
    resources::Revision revision = 0;
    std::vector<FleetItem> items;
  };

  std::size_t capacity_;
  std::size_t item_count_ = 0;
  // The log contains all changes after this revision.
  resources::Revision floor_ = 0;
  std::deque<Change> records_;
};

}  // namespace juniperway::control

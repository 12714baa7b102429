// Which items of the fleet changed at which revision: the source of updates and
// watches from a given revision. Not part of snapshots; after a restart from a
// snapshot it begins at the snapshot's revision. Bounded by number of items.
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

inline constexpr std::size_t kMaximumLoggedItems = 65536;

// Names something that daemons see.
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
  // kResource only.
  resources::Kind resource_kind = resources::Kind::kService;
  // Name of the resource, daemon, back end, service (also of a roll-out) or
  // zone; id of a discovered back end.
  std::string name;
  // kCrashingRequest only.
  RequestFingerprint request{};
  // Index snapshots only: daemons know them by these.
  std::string service;
  resources::IndexVersion index_version = 0;

  // clang-tidy 14 takes the defaulted comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const FleetItem&) const = default;
};

FleetItem NamedItem(FleetItem::Kind kind, const std::string& name);

class RevisionLog {
 public:
  explicit RevisionLog(std::size_t capacity = kMaximumLoggedItems)
      : capacity_(capacity) {}

  // Forgets everything; the next record follows `revision`.
  void Reset(resources::Revision revision);

  // Records what changed at `revision`, one past the last.
  void Record(resources::Revision revision, std::vector<FleetItem> items);

  // Every item that changed after `from`; nothing when that is too old.
  std::optional<std::set<FleetItem>> ItemsSince(resources::Revision from) const;

 private:
  struct Change {
    resources::Revision revision = 0;
    std::vector<FleetItem> items;
  };

  std::size_t capacity_;
  std::size_t item_count_ = 0;
  // Changes after this revision are known.
  resources::Revision floor_ = 0;
  std::deque<Change> records_;
};

}  // namespace juniperway::control

#include "common/control/resource_rules.h"

#include <map>
#include <set>
#include <string>

namespace juniperway::control {
namespace {

using resources::Backend;
using resources::IndexSnapshot;
using resources::Kind;
using resources::Resource;
using resources::ResourceId;

// Checks one set. References may also lead to other resources of the same set.
class ApplyCheck {
 public:
  ApplyCheck(const FleetStore& store, const std::vector<Resource>& set)
      : store_(store), set_(set), published_(store.published) {}

  Result<void> Run() {
    for (std::size_t i = 0; i < set_.size(); ++i) {
      prefix_ = set_.size() > 1 ? "items[" + std::to_string(i) + "]." : "";
      if (auto result = CheckVersion(set_[i]); !result) {
        return result;
      }
      staged_[set_[i].id] = &set_[i];
    }
    for (std::size_t i = 0; i < set_.size(); ++i) {
      prefix_ = set_.size() > 1 ? "items[" + std::to_string(i) + "]." : "";
      if (auto result = CheckReferences(set_[i]); !result) {
        return result;
      }
    }
    return {};
  }

 private:
  tl::unexpected<Error> MakeFieldError(ErrorCode code, const std::string& field,
                                       std::string message) const {
    return MakeError(code, prefix_ + field, std::move(message));
  }

  Result<void> CheckVersion(const Resource& resource) const {
    if (staged_.contains(resource.id)) {
      return MakeFieldError(ErrorCode::kInvalidArgument, "name",
                            "the set contains this resource twice");
    }
    const Resource* current = store_.Find(resource.id);
    const resources::Revision version =
        current == nullptr ? 0 : current->version;
    if (version != resource.version) {
      return MakeFieldError(ErrorCode::kConflict, "version",
                            "current version is " + std::to_string(version));
    }
    return {};
  }

  Result<void> CheckReferences(const Resource& resource) {
    if (const auto* backend = std::get_if<Backend>(&resource.specification)) {
      return CheckBackend(resource.id.name, *backend);
    }
    if (const auto* snapshot =
            std::get_if<IndexSnapshot>(&resource.specification)) {
      return CheckSnapshot(resource, *snapshot);
    }
    return {};
  }

  Result<void> CheckService(const std::string& service) const {
    const ResourceId id{Kind::kService, service};
    if (!staged_.contains(id) && store_.Find(id) == nullptr) {
      return MakeFieldError(ErrorCode::kInvalidArgument, "spec.service",
                            "there is no Service " + service);
    }
    return {};
  }

  Result<void> CheckBackend(const std::string& name, const Backend& backend) {
    if (auto result = CheckService(backend.service); !result) {
      return result;
    }
    auto [claimed, inserted] = addresses_.try_emplace(backend.address, name);
    std::string holder =
        inserted ? store_.BackendAt(backend.address) : claimed->second;
    // When the set gives a backend another address, its old address is free.
    const bool staged = staged_.contains({Kind::kBackend, holder});
    if (inserted && staged) {
      holder.clear();
    }
    if (!holder.empty() && holder != name) {
      return MakeFieldError(ErrorCode::kInvalidArgument, "spec.address",
                            "is already the address of Backend " + holder);
    }
    return {};
  }

  Result<void> CheckSnapshot(const Resource& resource,
                             const IndexSnapshot& snapshot) {
    if (auto result = CheckService(snapshot.service); !result) {
      return result;
    }
    if (auto result = CheckPartitions(snapshot); !result) {
      return result;
    }
    const Resource* current = store_.Find(resource.id);
    if (current != nullptr) {
      return CheckUnchanged(std::get<IndexSnapshot>(current->specification),
                            snapshot);
    }
    resources::IndexVersion& published = published_[snapshot.service];
    if (snapshot.index_version <= published) {
      return MakeFieldError(ErrorCode::kInvalidArgument, "spec.index_version",
                            "must be above " + std::to_string(published) +
                                ", the highest one published");
    }
    published = snapshot.index_version;
    return {};
  }

  Result<void> CheckPartitions(const IndexSnapshot& snapshot) const {
    Key expected = 0;
    for (std::size_t i = 0; i < snapshot.partitions.size(); ++i) {
      const KeyRange& range = snapshot.partitions[i].range;
      const std::string field = "spec.partitions[" + std::to_string(i) + "]";
      if (range.begin != expected) {
        return MakeFieldError(ErrorCode::kInvalidArgument, field + ".begin",
                              "must be " + std::to_string(expected) +
                                  ", where the one before ends");
      }
      if (range.empty()) {
        return MakeFieldError(ErrorCode::kInvalidArgument, field + ".end",
                              "must be above begin");
      }
      expected = range.end;
    }
    if (expected != kKeySpaceEnd) {
      return MakeFieldError(
          ErrorCode::kInvalidArgument, "spec.partitions",
          "must cover all keys up to " + std::to_string(kKeySpaceEnd));
    }
    return {};
  }

  // Queries refer to a snapshot by its index version, so the content of a
  // snapshot must not change.
  Result<void> CheckUnchanged(const IndexSnapshot& current,
                              const IndexSnapshot& snapshot) const {
    bool same = current.service == snapshot.service &&
                current.index_version == snapshot.index_version &&
                current.partitions.size() == snapshot.partitions.size();
    for (std::size_t i = 0; same && i < current.partitions.size(); ++i) {
      same = current.partitions[i].range == snapshot.partitions[i].range &&
             current.partitions[i].shard == snapshot.partitions[i].shard;
    }
    if (!same) {
      return MakeFieldError(
          ErrorCode::kInvalidArgument, "spec",
          "an IndexSnapshot cannot change; publish a new one");
    }
    return {};
  }

  const FleetStore& store_;
  const std::vector<Resource>& set_;
  std::string prefix_;
  std::map<ResourceId, const Resource*> staged_;
  std::map<std::string, std::string> addresses_;
  std::map<std::string, resources::IndexVersion> published_;
};

Result<void> CheckUnused(const FleetStore& store, const Resource& resource) {
  const std::string& name = resource.id.name;
  const auto make_in_use_error = [](const std::string& by) {
    return MakeError(ErrorCode::kInvalidArgument, "name",
                     "is still used by " + by);
  };
  if (resource.id.kind == Kind::kService) {
    const auto& backends = store.BackendsOf(name);
    if (!backends.empty()) {
      return make_in_use_error("Backend " + *backends.begin());
    }
    const auto& snapshots = store.SnapshotsOf(name);
    if (!snapshots.empty()) {
      return make_in_use_error("IndexSnapshot " + snapshots.begin()->second);
    }
  }
  if (resource.id.kind == Kind::kIndexSnapshot) {
    const auto& snapshot = std::get<IndexSnapshot>(resource.specification);
    auto serving = store.serving.find(snapshot.service);
    const bool is_serving = serving != store.serving.end() &&
                            serving->second == snapshot.index_version;
    if (is_serving && !store.BackendsOf(snapshot.service).empty()) {
      return make_in_use_error("Service " + snapshot.service +
                               ", which serves it");
    }
  }
  return {};
}

}  // namespace

Result<void> CheckApply(const FleetStore& store,
                        const std::vector<Resource>& set) {
  if (set.empty()) {
    return MakeError(ErrorCode::kInvalidArgument, "items", "is empty");
  }
  return ApplyCheck(store, set).Run();
}

Result<void> CheckDelete(const FleetStore& store, const ResourceId& id,
                         resources::Revision version) {
  const Resource* current = store.Find(id);
  if (current == nullptr) {
    return MakeError(
        ErrorCode::kNotFound, "name",
        "there is no " + std::string(KindName(id.kind)) + " " + id.name);
  }
  if (current->version != version) {
    return MakeError(ErrorCode::kConflict, "version",
                     "current version is " + std::to_string(current->version));
  }
  return CheckUnused(store, *current);
}

}  // namespace juniperway::control

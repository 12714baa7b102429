// Dense numbers for names (back ends, owners), so that per-query state lives in
// vectors. A number stays valid for the life of the table; the table grows with
// the names ever seen, not with restarts.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>

namespace juniperway::routing {

using BackendId = std::uint32_t;
using OwnerId = std::uint32_t;

class NameTable {
 public:
  // The number of `name`, given at first sight.
  std::uint32_t IdOf(std::string_view name) {
    const auto known = ids_.find(name);
    if (known != ids_.end()) {
      return known->second;
    }
    const auto id = static_cast<std::uint32_t>(names_.size());
    names_.emplace_back(name);
    ids_.emplace(names_.back(), id);
    return id;
  }

  const std::string& NameOf(std::uint32_t id) const { return names_.at(id); }
  std::size_t size() const { return names_.size(); }

 private:
  // A deque keeps its strings in place, so the keys of ids_ may point there.
  std::deque<std::string> names_;
  std::unordered_map<std::string_view, std::uint32_t> ids_;
};

}  // namespace juniperway::routing

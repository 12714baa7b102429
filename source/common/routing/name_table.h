// Maps names of backends or owners to dense ids, so that state per backend or
// owner can be held in vectors. An id stays valid as long as the table. The
// table grows with the number of distinct names; a restart under the same name
// adds nothing.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>

namespace juniperway::routing {

using BackendId = std::uint32_t;
using OwnerId = std::uint32_t;

// Table of names and their ids. A FrontState owns one table for backends and
// one for owners.
class NameTable {
 public:
  // Returns the id of `name`; assigns the next free id to a new name.
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
  // A deque does not move its strings when it grows, so the keys of ids_ may
  // point to them.
  std::deque<std::string> names_;
  std::unordered_map<std::string_view, std::uint32_t> ids_;
};

}  // namespace juniperway::routing

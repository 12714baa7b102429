// The regions that an operator allows to serve a route's requests. A limit of
// where a request may go, never a preference. Pure.
#pragma once

#include <set>
#include <string>
#include <utility>

namespace juniperway::routes {

class HomeRegions {
 public:
  // Every region may serve.
  HomeRegions() = default;
  // @param regions empty: every region may serve.
  explicit HomeRegions(std::set<std::string> regions)
      : regions_(std::move(regions)) {}

  // @param region empty: it is not known, which only an unlimited route allows.
  bool Allows(const std::string& region) const {
    return regions_.empty() || regions_.contains(region);
  }

  bool IsLimited() const { return !regions_.empty(); }
  const std::set<std::string>& regions() const { return regions_; }

  bool operator==(const HomeRegions&) const = default;

 private:
  std::set<std::string> regions_;
};

}  // namespace juniperway::routes

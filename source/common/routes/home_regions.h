// The regions that an operator allows to serve the requests of a route or a
// tenant. The set limits where a request may run and expresses no preference
// among the allowed regions. A plain value type.
#pragma once

#include <algorithm>
#include <iterator>
#include <set>
#include <string>
#include <utility>

namespace juniperway::routes {

// Each Route and Tenant owns one set.
class HomeRegions {
 public:
  // Allows every region.
  HomeRegions() = default;
  // @param regions if empty, every region is allowed.
  explicit HomeRegions(std::set<std::string> regions)
      : regions_(std::move(regions)), limited_(!regions_.empty()) {}

  // Returns the regions that both sets allow, which may be none at all.
  static HomeRegions Intersection(const HomeRegions& left,
                                  const HomeRegions& right) {
    if (!left.limited_ || !right.limited_) {
      return left.limited_ ? left : right;
    }
    HomeRegions common;
    common.limited_ = true;
    std::ranges::set_intersection(
        left.regions_, right.regions_,
        std::inserter(common.regions_, common.regions_.end()));
    return common;
  }

  // @param region empty if unknown; only an unlimited set allows an unknown
  //   region.
  bool Allows(const std::string& region) const {
    return !limited_ || regions_.contains(region);
  }

  bool IsLimited() const { return limited_; }
  const std::set<std::string>& regions() const { return regions_; }

  bool operator==(const HomeRegions&) const = default;

 private:
  std::set<std::string> regions_;
  bool limited_ = false;
};

}  // namespace juniperway::routes

// The regions that an operator allows to serve a route's or a tenant's
// requests. A limit of where a request may go, never a preference. Pure.
#pragma once

#include <algorithm>
#include <iterator>
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
      : regions_(std::move(regions)), limited_(!regions_.empty()) {}

  // The regions that both allow; none at all where they have none in common.
  static HomeRegions Both(const HomeRegions& left, const HomeRegions& right) {
    if (!left.limited_ || !right.limited_) {
      return left.limited_ ? left : right;
    }
    HomeRegions both;
    both.limited_ = true;
    std::ranges::set_intersection(
        left.regions_, right.regions_,
        std::inserter(both.regions_, both.regions_.end()));
    return both;
  }

  // @param region empty: it is not known, which only those without a limit
  //   allow.
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

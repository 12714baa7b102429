// Tests that SplitChooser keeps the shares of a split route also over short
// windows.
#include "common/forwarding/split_chooser.h"

#include <doctest/doctest.h>

#include <map>

namespace juniperway::forwarding {
namespace {

TEST_CASE("each service has its share after every request") {
  routes::Route route;
  route.name = "split";
  route.destination =
      routes::SplitTarget{{{"a", 0.7}, {"b", 0.2}, {"c", 0.1}, {"d", 0}}};
  SplitChooser chooser;
  std::map<std::string, double> counts;
  for (int sent = 1; sent <= 1000; ++sent) {
    ++counts[chooser.Choose(route)];
    CHECK(counts["a"] == doctest::Approx(0.7 * sent).epsilon(0.01).scale(200));
    CHECK(counts["b"] == doctest::Approx(0.2 * sent).epsilon(0.01).scale(200));
  }
  CHECK(counts["c"] == doctest::Approx(100).epsilon(0.02));
  CHECK(counts["d"] == 0);
}

TEST_CASE("changed weights apply from the next request") {
  routes::Route route;
  route.name = "split";
  route.destination = routes::SplitTarget{{{"a", 1}, {"b", 0}}};
  SplitChooser chooser;
  for (int sent = 0; sent < 100; ++sent) {
    CHECK(chooser.Choose(route) == "a");
  }
  route.destination = routes::SplitTarget{{{"a", 0}, {"b", 1}}};
  CHECK(chooser.Choose(route) == "b");
}

}  // namespace
}  // namespace juniperway::forwarding

// SplitChooser divides the requests of a split route among its services by
// their weights. Each request goes to the service whose count is furthest below
// its share, which keeps the shares over short windows too. The router owns the
// chooser.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "common/routes/route_table.h"

namespace juniperway::forwarding {

// Weighted choice among the services of split routes.
class SplitChooser {
 public:
  // @return the service for the next request of the route.
  const std::string& Choose(const routes::Route& route);

 private:
  // Weights of one split route and the counts that belong to them. A change of
  // the weights resets the counts.
  struct State {
    std::vector<routes::WeightedService> parts;
    // For each service, by how many requests its count is below its share.
    std::vector<double> deficits;
  };

  // State of each split route, by route name.
  std::map<std::string, State> states_;
};

}  // namespace juniperway::forwarding

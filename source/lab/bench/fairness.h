// Goodput and tail of a quiet request class beside a noisy one, for each order
// of the waiting subqueries. Virtual time; see sim/fairness.h.
#pragma once

#include <ostream>

namespace juniperway::lab {

// Prints one JSON line for each scenario and order: medians over seeds 1 to 5
// of 60 s of virtual time each.
// @return 0.
int RunFairnessBench(std::ostream& output);

}  // namespace juniperway::lab

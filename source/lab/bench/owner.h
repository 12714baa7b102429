// Cost of the owner tier: processor time a subquery, memory and health probes a
// back end, and how long a hand-over takes. Feeds docs/CAPACITY.md.
#pragma once

#include <ostream>

namespace juniperway::lab {

// Prints JSON lines: one with the costs for 4, 16 and 64 owned back ends each,
// and one each for a hand-over of idle and of busy back ends (medians of five
// rounds). Loopback; takes about a minute.
// @return 0.
int RunOwnerBench(std::ostream& output);

}  // namespace juniperway::lab

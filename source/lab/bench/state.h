// Cost of what every daemon keeps in memory: the view of the replicated state
// and the table of owners, at several fleet sizes. Feeds docs/CAPACITY.md.
#pragma once

#include <ostream>

namespace juniperway::lab {

// Builds views of 1/16, 1/4 and the whole target fleet (6,600 daemons, 27,000
// back ends, 19 zones) and prints one JSON line a size: bytes of the view and
// of the owner table, of the next view while both live, and microseconds to
// make the next view, to build the table anew and after one member came
// (medians of five rounds).
// @return 0.
int RunStateBench(std::ostream& output);

}  // namespace juniperway::lab

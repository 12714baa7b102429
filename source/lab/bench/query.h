// Benchmarks of the query path against stand-in back ends in other processes:
// cost, straggler and overload. Feeds docs/CAPACITY.md.
#pragma once

namespace juniperway::lab {

// juniperway-lab bench query [--part cost|fan-out|straggler|overload]
// [--seed N] [--rounds N] [--queries N]: prints one JSON line a measurement.
// @return the exit status.
int RunQueryBench(int argc, const char** argv);

}  // namespace juniperway::lab

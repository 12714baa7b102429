// Cost of consensus and its store: commits, restarts and claims. Feeds
// docs/CAPACITY.md.
#pragma once

namespace juniperway::lab {

// Prints one JSON line a measurement; `--help` lists the flags.
// @return the exit status (lab/commands.h).
int RunRaftBench(int argc, const char** argv);

}  // namespace juniperway::lab

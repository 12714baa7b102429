// Cost and speed of control sessions: hollow daemons against three control
// processes. Feeds docs/CAPACITY.md.
#pragma once

namespace juniperway::lab {

// Prints one JSON line for each number of daemons: time until all hold a lease,
// bytes, processor time and memory a daemon on both sides, time from accepted
// to in force, and, with the leader killed and frozen, the time without
// accepted changes. `--help` lists the flags.
// @return the exit status (lab/commands.h).
int RunControlBench(int argc, const char** argv);

}  // namespace juniperway::lab

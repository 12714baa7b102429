// The subcommands of juniperway-lab. Each takes the arguments from its own name
// on and returns the exit status: 0 done, 1 a promise broke, 2 wrong usage.
#pragma once

namespace juniperway::lab {

inline constexpr int kExitDone = 0;
inline constexpr int kExitPromiseBroken = 1;
inline constexpr int kExitUsage = 2;

int RunBackendCommand(int argc, const char** argv);
int RunPlatformCommand(int argc, const char** argv);
int RunProxyCommand(int argc, const char** argv);
int RunCallerCommand(int argc, const char** argv);
int RunExperimentCommand(int argc, const char** argv);
int RunDemoCommand(int argc, const char** argv);
int RunBenchCommand(int argc, const char** argv);
int RunSoakCommand(int argc, const char** argv);

}  // namespace juniperway::lab

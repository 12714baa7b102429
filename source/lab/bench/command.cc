// juniperway-lab bench: one benchmark by name.
#include <iostream>
#include <map>
#include <string>

#include "lab/bench/control.h"
#include "lab/bench/fairness.h"
#include "lab/bench/owner.h"
#include "lab/bench/query.h"
#include "lab/bench/raft.h"
#include "lab/bench/state.h"
#include "lab/commands.h"

namespace juniperway::lab {
namespace {

// Takes the arguments from the benchmark's name on; returns the exit status.
using Benchmark = int (*)(int argc, const char** argv);

int RunFairness(int /*argc*/, const char** /*argv*/) {
  return RunFairnessBench(std::cout);
}

int RunOwner(int /*argc*/, const char** /*argv*/) {
  return RunOwnerBench(std::cout);
}

int RunState(int /*argc*/, const char** /*argv*/) {
  return RunStateBench(std::cout);
}

const std::map<std::string, Benchmark>& Benchmarks() {
  static const std::map<std::string, Benchmark> benchmarks = {
      {"control", RunControlBench}, {"fairness", RunFairness},
      {"owner", RunOwner},          {"query", RunQueryBench},
      {"raft", RunRaftBench},       {"state", RunState},
  };
  return benchmarks;
}

}  // namespace

int RunBenchCommand(int argc, const char** argv) {
  const auto benchmark =
      argc > 1 ? Benchmarks().find(argv[1]) : Benchmarks().end();
  if (benchmark != Benchmarks().end()) {
    return benchmark->second(argc - 1, argv + 1);
  }
  std::cerr << "usage: juniperway-lab bench NAME [--help] [flags]\nnames:";
  for (const auto& [name, run] : Benchmarks()) {
    std::cerr << ' ' << name;
  }
  std::cerr << '\n';
  return kExitUsage;
}

}  // namespace juniperway::lab

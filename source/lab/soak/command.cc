// juniperway-lab soak: random faults on real processes, one seed after the
// other, until the time is over.
#include <fmt/format.h>
#include <glog/logging.h>

#include <filesystem>
#include <iostream>
#include <random>

#include "lab/command_line.h"
#include "lab/commands.h"
#include "lab/soak/run.h"

namespace juniperway::lab {
namespace {

namespace fs = std::filesystem;

// Fewer cannot lose one and go on; more have no loopback addresses of their
// own (SoakFleet).
constexpr std::int64_t kLeastControls = 3;
constexpr std::int64_t kMostControls = 50;
constexpr std::int64_t kMostRouters = 150;

struct Flags {
  // 0: drawn.
  std::int64_t seed = 0;
  std::int64_t rounds = 1;
  double seconds = 30;
  std::int64_t callers = SoakOptions{}.callers;
  std::int64_t controls = SoakOptions{}.controls;
  std::int64_t routers = SoakOptions{}.routers;
  std::string folder;
  std::string binary_folder;
  bool verbose = false;
};

// @return whether every promise was kept.
bool RunRound(const Flags& flags, std::uint64_t seed) {
  const fs::path folder = fs::path(flags.folder) / fmt::format("soak-{}", seed);
  fs::remove_all(folder);
  fs::create_directories(folder);
  SoakOptions options;
  options.seed = seed;
  options.duration = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(flags.seconds));
  options.callers = static_cast<int>(flags.callers);
  options.controls = flags.controls;
  options.routers = flags.routers;
  options.binary_folder = flags.binary_folder;
  options.folder = folder;
  const SoakReport report = RunSoak(options);
  std::cout << fmt::format(
                   "seed {}: {} requests, {} served, {} changes, {} reads, {} "
                   "evacuation orders, {} reads of zones, {} faults, {} "
                   "promises broken",
                   seed, report.requests, report.served, report.changes,
                   report.reads, report.zone_orders, report.zones_reads,
                   report.faults.size(), report.broken.size())
            << std::endl;
  const bool kept = report.broken.empty();
  if (!kept || flags.verbose) {
    for (const std::string& fault : report.faults) {
      std::cout << "  " << fault << '\n';
    }
  }
  for (const std::string& line : report.broken) {
    std::cout << "  BROKEN: " << line << '\n';
  }
  if (kept) {
    fs::remove_all(folder);
  } else {
    std::cout << "  logs: " << folder.string() << std::endl;
  }
  return kept;
}

}  // namespace

int RunSoakCommand(int argc, const char** argv) {
  Flags flags;
  CommandLine line("juniperway-lab soak");
  line.Add("seed", flags.seed, "seed of the first round; 0: drawn")
      .Add("rounds", flags.rounds, "rounds, each with the next seed")
      .Add("seconds", flags.seconds, "how long faults come in a round")
      .Add("callers", flags.callers, "callers, each with one request at a time")
      .Add("controls", flags.controls, "control machines, 3 to 50")
      .Add("routers", flags.routers, "routers, 1 to 150")
      .Add("folder", flags.folder, "where logs of broken rounds are kept")
      .Add("binaries", flags.binary_folder, "folder of the programs")
      .Add("verbose", flags.verbose, "show every fault, and the lab's log");
  const auto rest = line.Parse(argc, argv);
  if (!rest || !rest->empty()) {
    std::cerr << (rest ? "soak takes flags only" : FormatError(rest.error()))
              << '\n';
    return kExitUsage;
  }
  if (flags.callers < 1 || flags.controls < kLeastControls ||
      flags.controls > kMostControls || flags.routers < 1 ||
      flags.routers > kMostRouters) {
    std::cerr << "callers, controls or routers are out of range; see --help\n";
    return kExitUsage;
  }
  if (!flags.verbose) {
    FLAGS_minloglevel = google::GLOG_WARNING;
  }
  if (flags.folder.empty()) {
    flags.folder = fs::temp_directory_path() / "juniperway-soak";
  }
  if (flags.binary_folder.empty()) {
    flags.binary_folder = fs::read_symlink("/proc/self/exe").parent_path();
  }
  std::uint64_t seed = flags.seed != 0 ? flags.seed : std::random_device()();
  bool kept = true;
  for (std::int64_t round = 0; round < flags.rounds; ++round) {
    kept = RunRound(flags, seed++) && kept;
  }
  return kept ? kExitDone : kExitPromiseBroken;
}

}  // namespace juniperway::lab

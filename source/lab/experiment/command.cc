// juniperway-lab experiment: runs scenarios on a fleet started for each run.
#include <fmt/format.h>
#include <glog/logging.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <iostream>

#include "lab/command_line.h"
#include "lab/commands.h"
#include "lab/experiment/execute.h"
#include "lab/server_process.h"

namespace juniperway::lab {
namespace {

// Queries a second of the demo.
constexpr double kDemoRate = 100;

struct Flags {
  bool list = false;
  bool json = false;
  bool keep = false;
  bool verbose = false;
  std::int64_t seed = 1;
  std::string seeds;
  std::string deployment = "lin";
  double rate = 60;
  double scale = 1;
  std::string binary_folder;
  std::string deploy_folder;
};

CommandLine MakeCommandLine(const std::string& command, Flags& flags) {
  CommandLine line("juniperway-lab " + command);
  line.Add("seed", flags.seed, "seed of the run")
      .Add("seeds", flags.seeds, "A..B: one run for each seed")
      .Add("deployment", flags.deployment, "lin, tadamoun or a file")
      .Add("rate", flags.rate, "queries a second")
      .Add("scale", flags.scale, "lengthens the times between the steps")
      .Add("json", flags.json, "print nothing but the JSON lines")
      .Add("keep", flags.keep, "keep the logs and data folders")
      .Add("verbose", flags.verbose, "log what the lab does")
      .Add("binaries", flags.binary_folder, "folder of the programs")
      .Add("deploy-folder", flags.deploy_folder,
           "folder of the deployment files");
  return line;
}

int ListScenarios() {
  for (const Scenario& scenario : Scenarios()) {
    std::cout << fmt::format("{:<28}{}\n", scenario.name, scenario.summary);
  }
  return kExitDone;
}

// "A..B", or nothing: the one seed.
Result<std::pair<std::uint64_t, std::uint64_t>> SeedRange(const Flags& flags) {
  if (flags.seeds.empty()) {
    return std::pair<std::uint64_t, std::uint64_t>(flags.seed, flags.seed);
  }
  unsigned long first = 0;
  unsigned long last = 0;
  char rest = 0;
  if (std::sscanf(flags.seeds.c_str(), "%lu..%lu%c", &first, &last, &rest) !=
          2 ||
      first > last) {
    return MakeError(ErrorCode::kInvalidArgument, "--seeds", "must be A..B");
  }
  return std::pair<std::uint64_t, std::uint64_t>(first, last);
}

// The programs stand together; deployment files are in the source tree.
void FindFolders(Flags& flags) {
  const std::filesystem::path self =
      std::filesystem::read_symlink("/proc/self/exe");
  if (flags.binary_folder.empty()) {
    flags.binary_folder = self.parent_path();
  }
  if (flags.deploy_folder.empty()) {
    flags.deploy_folder =
        self.parent_path().parent_path().parent_path() / "deploy";
  }
}

Result<ExperimentOptions> MakeOptions(const Flags& flags) {
  const bool is_path = flags.deployment.find('/') != std::string::npos;
  Result<Deployment> deployment =
      ReadDeployment(is_path ? flags.deployment
                             : fmt::format("{}/{}.json", flags.deploy_folder,
                                           flags.deployment));
  if (!deployment) {
    return tl::unexpected<Error>(deployment.error());
  }
  ExperimentOptions options;
  options.deployment = *std::move(deployment);
  options.binary_folder = flags.binary_folder;
  options.run.rate = flags.rate;
  options.run.scale = flags.scale;
  options.keep_files = flags.keep;
  return options;
}

void Print(const RunResult& result, bool json_only) {
  for (const std::string& example : result.outcome.report.examples()) {
    std::cerr << example << '\n';
  }
  if (!json_only) {
    std::cout << FormatTable(result);
  }
  std::cout << ResultToJson(result).dump() << std::endl;
}

int RunScenarios(const std::vector<std::string>& names, Flags flags) {
  if (!flags.verbose) {
    FLAGS_minloglevel = google::GLOG_WARNING;
  }
  FindFolders(flags);
  const auto seeds = SeedRange(flags);
  Result<ExperimentOptions> options = MakeOptions(flags);
  if (!seeds || !options) {
    return ReportUsage(!seeds ? seeds.error() : options.error());
  }
  bool passed = true;
  for (const std::string& name : names) {
    const Scenario* scenario = FindScenario(name);
    if (scenario == nullptr) {
      return ReportUsage({ErrorCode::kNotFound, name, "is no scenario"});
    }
    for (std::uint64_t seed = seeds->first; seed <= seeds->second; ++seed) {
      options->run.seed = seed;
      const RunResult result = Execute(*scenario, *options);
      Print(result, flags.json);
      passed = passed && result.passed();
    }
  }
  return passed ? kExitDone : kExitPromiseBroken;
}

}  // namespace

int RunExperimentCommand(int argc, const char** argv) {
  Flags flags;
  CommandLine line = MakeCommandLine("experiment", flags);
  line.Add("list", flags.list, "name the scenarios");
  const auto names = line.Parse(argc, argv);
  if (!names) {
    return ReportUsage(names.error());
  }
  if (flags.list) {
    return ListScenarios();
  }
  if (names->empty()) {
    return ReportUsage({ErrorCode::kInvalidArgument, "experiment",
                        "name a scenario, or use --list"});
  }
  return RunScenarios(*names, flags);
}

int RunDemoCommand(int argc, const char** argv) {
  Flags flags;
  flags.rate = kDemoRate;
  CommandLine line = MakeCommandLine("demo", flags);
  const auto rest = line.Parse(argc, argv);
  if (!rest) {
    return ReportUsage(rest.error());
  }
  std::cout << "Starting a fleet of the sizes in deploy/" << flags.deployment
            << ".json: control machines, gateways and back ends as processes\n"
               "on loopback, every link through a proxy with the delays of "
               "zones and regions.\nThen queries for half a minute, with "
               "stragglers, drained back ends and index\nchanges under way; "
               "every answer is checked against the exact right rows.\n"
            << std::endl;
  return RunScenarios({"demo"}, flags);
}

}  // namespace juniperway::lab

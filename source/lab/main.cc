// juniperway-lab: stand-ins of what surrounds the product (back ends, callers,
// the platform's list, a faulty network) and the experiments that use them.
#include <glog/logging.h>

#include <exception>
#include <iostream>
#include <map>
#include <string>

#include "lab/commands.h"

namespace {

using Command = int (*)(int argc, const char** argv);

const std::map<std::string, Command>& Commands() {
  static const std::map<std::string, Command> commands = {
      {"backend", juniperway::lab::RunBackendCommand},
      {"bench", juniperway::lab::RunBenchCommand},
      {"caller", juniperway::lab::RunCallerCommand},
      {"demo", juniperway::lab::RunDemoCommand},
      {"experiment", juniperway::lab::RunExperimentCommand},
      {"platform", juniperway::lab::RunPlatformCommand},
      {"proxy", juniperway::lab::RunProxyCommand},
      {"soak", juniperway::lab::RunSoakCommand},
  };
  return commands;
}

int PrintUsage() {
  std::cerr << "usage: juniperway-lab COMMAND [--help] [flags]\ncommands:";
  for (const auto& [name, command] : Commands()) {
    std::cerr << ' ' << name;
  }
  std::cerr << '\n';
  return juniperway::lab::kExitUsage;
}

}  // namespace

int main(int argc, const char** argv) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  const auto command = argc > 1 ? Commands().find(argv[1]) : Commands().end();
  if (command == Commands().end()) {
    return PrintUsage();
  }
  try {
    return command->second(argc - 1, argv + 1);
  } catch (const std::exception& fault) {
    std::cerr << "juniperway-lab: " << fault.what() << '\n';
    return juniperway::lab::kExitUsage;
  }
}

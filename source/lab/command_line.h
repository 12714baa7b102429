// Flags of the lab's subcommands, on popt.
#pragma once

#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "common/base/error.h"

namespace juniperway::lab {

class CommandLine {
 public:
  // @param name is shown in the usage text, e.g. "juniperway-lab backend".
  explicit CommandLine(std::string name) : name_(std::move(name)) {}

  // Each flag is "--<flag> VALUE"; the target keeps its value when not given.
  CommandLine& Add(const std::string& flag, std::string& target,
                   const std::string& help);
  CommandLine& Add(const std::string& flag, std::int64_t& target,
                   const std::string& help);
  CommandLine& Add(const std::string& flag, double& target,
                   const std::string& help);
  // "--<flag>" without a value.
  CommandLine& Add(const std::string& flag, bool& target,
                   const std::string& help);

  // Parses the arguments after the subcommand's name (argv[0] is skipped).
  // `--help` prints the usage and exits 0.
  // @return the arguments that are no flags.
  Result<std::vector<std::string>> Parse(int argc, const char** argv);

 private:
  enum class Type { kString, kInteger, kNumber, kSwitch };
  struct Flag {
    std::string name;
    std::string help;
    Type type = Type::kString;
    std::function<Result<void>(const std::string& text)> set;
  };

  CommandLine& AddFlag(Flag flag);

  std::string name_;
  std::deque<Flag> flags_;
};

}  // namespace juniperway::lab

// The command line's flags as values. Which command takes which flag is said in
// command_table.cc.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/base/time.h"
#include "ctl/failure.h"

namespace juniperway::ctl {

enum class OutputFormat { kTable, kJson };

struct Options {
  // Every command.
  std::string servers;
  std::string token_file;
  OutputFormat output = OutputFormat::kTable;
  std::optional<Duration> timeout;
  bool help = false;

  // Changes.
  std::string change_id;
  bool wait = false;

  // Single commands.
  std::vector<std::string> files;
  std::optional<std::uint64_t> version;
  std::optional<std::uint64_t> from_revision;
  bool local = false;
  bool force = false;
  std::string zone;
  std::string data_folder;
  std::string cluster;
  std::optional<std::uint64_t> node_id;
  std::string address;
  std::optional<std::uint64_t> skip_revisions;

  std::vector<std::string> arguments;  // those that are no flags
};

// Flags by their long names, to say what a command takes.
using FlagNames = std::vector<std::string>;

// Parses what follows the command's name (argv[0] is skipped). A flag outside
// `allowed` is refused with kUsage, as is a value of the wrong form.
Outcome<Options> ParseOptions(int argc, const char** argv,
                              const FlagNames& allowed);

// One line of help for each flag.
std::string DescribeFlags(const FlagNames& names);

}  // namespace juniperway::ctl

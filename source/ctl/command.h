// What a command is: its description, and what it is given to run.
#pragma once

#include <istream>
#include <ostream>
#include <string>
#include <vector>

#include "ctl/api_client.h"
#include "ctl/options.h"

namespace juniperway::ctl {

// Everything a command touches; tests put their own streams in.
struct CommandContext {
  const Options& options;
  // Null for commands that work offline.
  ApiClient* api;
  std::istream& in;
  std::ostream& out;
  // Notes for a person while the command runs; never what it was asked for.
  std::ostream& notes;

  bool json() const { return options.output == OutputFormat::kJson; }
};

using RunCommand = Outcome<void> (*)(CommandContext& context);

struct Command {
  std::string name;
  // As shown in its usage: "KIND [NAME]".
  std::string arguments;
  std::string summary;
  std::string example;
  std::size_t minimum_arguments = 0;
  std::size_t maximum_arguments = 0;
  // Beyond those that every command takes.
  FlagNames flags;
  bool offline = false;
  RunCommand run = nullptr;
};

// In the order of the help.
const std::vector<Command>& Commands();

// Null for an unknown word.
const Command* FindCommand(const std::string& name);

// Flags that the command takes, the common ones with them.
FlagNames FlagsOf(const Command& command);

// The list of commands, and one command's help.
std::string DescribeCommands();
std::string DescribeCommand(const Command& command);

// One function for each command; see commands/.
Outcome<void> RunApply(CommandContext& context);
Outcome<void> RunGet(CommandContext& context);
Outcome<void> RunDescribe(CommandContext& context);
Outcome<void> RunDelete(CommandContext& context);
Outcome<void> RunWatch(CommandContext& context);
Outcome<void> RunDrain(CommandContext& context);
Outcome<void> RunUndrain(CommandContext& context);
Outcome<void> RunEvacuate(CommandContext& context);
Outcome<void> RunRollouts(CommandContext& context);
Outcome<void> RunCrashingRequests(CommandContext& context);
Outcome<void> RunStatus(CommandContext& context);
Outcome<void> RunChanges(CommandContext& context);
Outcome<void> RunWait(CommandContext& context);
Outcome<void> RunMembers(CommandContext& context);
Outcome<void> RunBackup(CommandContext& context);
Outcome<void> RunRestore(CommandContext& context);
Outcome<void> RunExplain(CommandContext& context);

}  // namespace juniperway::ctl

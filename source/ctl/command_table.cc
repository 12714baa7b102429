#include <fmt/format.h>

#include <algorithm>

#include "ctl/command.h"

namespace juniperway::ctl {
namespace {

// Logs that one call reads at most.
constexpr std::size_t kMaximumLogs = 10000;

constexpr const char* kExitCodes =
    "exit codes: 0 done, 1 refused, 2 usage, 3 conflict, 4 unavailable or "
    "outcome unknown,\n            5 not found, 6 unauthorized, 7 local "
    "file\n";

std::vector<Command> ResourceCommands() {
  return {
      {"apply",
       "-f FILE [-f FILE...]",
       "Write resources; those of all files as one change, all or nothing.",
       "juniperwayctl apply -f service.json -f backends.json --wait",
       0,
       0,
       {"file", "change-id", "wait"},
       false,
       RunApply},
      {"get",
       "KIND [NAME]",
       "Show the resources of a kind, or one of them.",
       "juniperwayctl get backends",
       1,
       2,
       {"local"},
       false,
       RunGet},
      {"describe",
       "KIND NAME",
       "Show every field of one resource.",
       "juniperwayctl describe service wallet-search",
       2,
       2,
       {"local"},
       false,
       RunDescribe},
      {"delete",
       "KIND NAME",
       "Delete one resource.",
       "juniperwayctl delete backend cores-1.tpe-a --wait",
       2,
       2,
       {"version", "change-id", "wait"},
       false,
       RunDelete},
      {"watch",
       "[KIND]",
       "Show changes as they are made, until interrupted or --timeout is over.",
       "juniperwayctl watch backends",
       0,
       1,
       {"from"},
       false,
       RunWatch},
      {"drain",
       "BACKEND|MACHINE",
       "Take a back end or a machine out of use; it gets no new work.",
       "juniperwayctl drain cores-1.tpe-a --wait",
       1,
       1,
       {"zone", "change-id", "wait"},
       false,
       RunDrain},
      {"undrain",
       "BACKEND|MACHINE",
       "Take it back into use.",
       "juniperwayctl undrain cores-1.tpe-a --wait",
       1,
       1,
       {"change-id", "wait"},
       false,
       RunUndrain},
  };
}

std::vector<Command> ForwardingCommands() {
  return {
      {"evacuate",
       "list | start ZONE | end ZONE",
       "Take all back ends of a zone out of use, or back into use.",
       "juniperwayctl evacuate start tpe-a --wait",
       1,
       2,
       {"change-id", "wait"},
       false,
       RunEvacuate},
      {"rollouts",
       "list | start SERVICE VERSION SECONDS | remove SERVICE",
       "Move a service to another version of its back ends, step by step.",
       "juniperwayctl rollouts start s1 v2 600",
       1,
       4,
       {"change-id", "wait"},
       false,
       RunRollouts},
      {"crashing-requests",
       "list | release FINGERPRINT",
       "Show requests under which back ends ended, or let one be sent again.",
       "juniperwayctl crashing-requests list",
       1,
       2,
       {"change-id", "wait"},
       false,
       RunCrashingRequests},
  };
}

std::vector<Command> OperationCommands() {
  return {
      {"status",
       "",
       "Show the state of the control machines.",
       "juniperwayctl status",
       0,
       0,
       {},
       false,
       RunStatus},
      {"changes",
       "ID",
       "Show how far a change has come.",
       "juniperwayctl changes ctl-0f3c",
       1,
       1,
       {},
       false,
       RunChanges},
      {"wait",
       "ID",
       "Wait until a change is in force.",
       "juniperwayctl wait ctl-0f3c --timeout 60",
       1,
       1,
       {},
       false,
       RunWait},
      {"members",
       "list | add ID IP:PORT | remove ID",
       "Show, add or remove control machines.",
       "juniperwayctl members add 4 10.0.0.4:7100 --wait",
       1,
       3,
       {"wait"},
       false,
       RunMembers},
      {"backup",
       "FILE",
       "Write a backup of the control machines' store.",
       "juniperwayctl backup store-monday.db",
       1,
       1,
       {"force"},
       false,
       RunBackup},
      {"restore",
       "FILE",
       "Offline: make a new control machine's data folder from a backup.",
       "juniperwayctl restore store-monday.db --data-folder "
       "/var/lib/juniperway --node-id 7 --address 10.0.0.7:7100",
       1,
       1,
       {"data-folder", "cluster", "node-id", "address", "skip-revisions"},
       true,
       RunRestore},
      {"explain",
       "REQUEST-ID LOG [LOG...]",
       "Offline: tell one request's story from the logs of several processes.",
       "juniperwayctl explain 25d39e1581e49c3e router-1.log router-2.log",
       2,
       kMaximumLogs,
       {},
       true,
       RunExplain},
  };
}

}  // namespace

const std::vector<Command>& Commands() {
  static const std::vector<Command> commands = [] {
    std::vector<Command> all = ResourceCommands();
    for (const auto& more : {ForwardingCommands(), OperationCommands()}) {
      all.insert(all.end(), more.begin(), more.end());
    }
    return all;
  }();
  return commands;
}

const Command* FindCommand(const std::string& name) {
  const auto found = std::find_if(
      Commands().begin(), Commands().end(),
      [&](const Command& command) { return command.name == name; });
  return found == Commands().end() ? nullptr : &*found;
}

FlagNames FlagsOf(const Command& command) {
  FlagNames names = {"output", "help"};
  if (!command.offline) {
    names.insert(names.end(), {"server", "token-file", "timeout"});
  }
  names.insert(names.end(), command.flags.begin(), command.flags.end());
  return names;
}

std::string DescribeCommands() {
  std::string text =
      "usage: juniperwayctl COMMAND [ARGUMENTS] [FLAGS]\n\ncommands:\n";
  for (const Command& command : Commands()) {
    text += fmt::format("  {:<9} {}\n", command.name, command.summary);
  }
  return text +
         "\n\"juniperwayctl COMMAND --help\" shows a command's flags.\n" +
         kExitCodes;
}

std::string DescribeCommand(const Command& command) {
  return fmt::format(
      "usage: juniperwayctl {}{}{} [FLAGS]\n{}\n\nexample: "
      "{}\n\nflags:\n{}\n{}",
      command.name, command.arguments.empty() ? "" : " ", command.arguments,
      command.summary, command.example, DescribeFlags(FlagsOf(command)),
      kExitCodes);
}

}  // namespace juniperway::ctl

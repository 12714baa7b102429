#include "ctl/run.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "ctl/command.h"
#include "ctl/settings.h"

namespace juniperway::ctl {
namespace {

int Report(const Failure& failure, std::ostream& error) {
  error << "juniperwayctl: " << failure.message << '\n';
  return static_cast<int>(failure.exit_code);
}

int ReportUsage(const Command& command, const Failure& failure,
                std::ostream& error) {
  const int exit_code = Report(failure, error);
  error << "usage: juniperwayctl " << command.name << ' ' << command.arguments
        << " [FLAGS]; see juniperwayctl " << command.name << " --help\n";
  return exit_code;
}

Outcome<void> CheckArgumentCount(const Command& command,
                                 const Options& options) {
  const std::size_t count = options.arguments.size();
  if (count < command.minimum_arguments) {
    return Fail(ExitCode::kUsage, "an argument is missing");
  }
  if (count > command.maximum_arguments) {
    return Fail(ExitCode::kUsage,
                "one argument too many: " +
                    options.arguments[command.maximum_arguments]);
  }
  return {};
}

// Makes the client where the command needs one, and runs it.
Outcome<void> RunWithOptions(const Command& command, const Options& options,
                             const std::string& server_variable,
                             asio::io_context& context,
                             const Streams& streams) {
  std::optional<ApiClient> client;
  if (!command.offline) {
    auto settings = ResolveSettings(options, server_variable);
    if (!settings) {
      return tl::unexpected(settings.error());
    }
    client.emplace(context, std::move(*settings));
  }
  CommandContext command_context{options, client ? &*client : nullptr,
                                 streams.in, streams.out, streams.error};
  try {
    return command.run(command_context);
  } catch (const nlohmann::json::exception&) {
    // A field of another type than a control machine would send.
    return Fail(ExitCode::kUnavailable,
                "the answer is not understood: is this a control machine?");
  }
}

}  // namespace

int Run(int argc, const char** argv, const std::string& server_variable,
        asio::io_context& context, const Streams& streams) {
  const std::string word = argc > 1 ? argv[1] : "";
  if (word == "--help" || word == "-?" || word == "help") {
    streams.out << DescribeCommands();
    return static_cast<int>(ExitCode::kDone);
  }
  const Command* command = FindCommand(word);
  if (command == nullptr) {
    streams.error << (word.empty() ? std::string("juniperwayctl: no command\n")
                                   : "juniperwayctl: no command " + word + '\n')
                  << DescribeCommands();
    return static_cast<int>(ExitCode::kUsage);
  }
  const auto options = ParseOptions(argc - 1, argv + 1, FlagsOf(*command));
  if (!options) {
    return ReportUsage(*command, options.error(), streams.error);
  }
  if (options->help) {
    streams.out << DescribeCommand(*command);
    return static_cast<int>(ExitCode::kDone);
  }
  Outcome<void> outcome = CheckArgumentCount(*command, *options);
  if (outcome) {
    outcome =
        RunWithOptions(*command, *options, server_variable, context, streams);
  }
  if (outcome) {
    return static_cast<int>(ExitCode::kDone);
  }
  return outcome.error().exit_code == ExitCode::kUsage
             ? ReportUsage(*command, outcome.error(), streams.error)
             : Report(outcome.error(), streams.error);
}

}  // namespace juniperway::ctl

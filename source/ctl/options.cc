#include "ctl/options.h"

#include <fmt/format.h>
#include <popt.h>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <functional>
#include <memory>
#include <utility>

namespace juniperway::ctl {
namespace {

// popt returns this plus the flag's place in the table.
constexpr int kFirstFlagValue = 1;
constexpr double kMaximumTimeoutSeconds = 86400;
constexpr double kMicrosecondsInSecond = 1e6;

// Takes a flag's value; nothing when it is right, else what it must be.
using Setter =
    std::function<std::optional<std::string>(Options&, const std::string&)>;

struct Flag {
  std::string name;
  char letter = '\0';
  std::string value;  // name of its value in the help; empty: takes none
  std::string help;
  Setter set;
};

Setter SetText(std::string Options::*field) {
  return [field](Options& options,
                 const std::string& text) -> std::optional<std::string> {
    if (text.empty()) {
      return "must not be empty";
    }
    options.*field = text;
    return std::nullopt;
  };
}

Setter SetSwitch(bool Options::*field) {
  return [field](Options& options,
                 const std::string&) -> std::optional<std::string> {
    options.*field = true;
    return std::nullopt;
  };
}

Setter SetNumber(std::optional<std::uint64_t> Options::*field) {
  return [field](Options& options,
                 const std::string& text) -> std::optional<std::string> {
    std::uint64_t number = 0;
    const char* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc() || stop != end) {
      return "must be a whole number";
    }
    options.*field = number;
    return std::nullopt;
  };
}

std::optional<std::string> AddFile(Options& options, const std::string& text) {
  options.files.push_back(text);
  return std::nullopt;
}

std::optional<std::string> SetOutput(Options& options,
                                     const std::string& text) {
  if (text != "table" && text != "json") {
    return "must be table or json";
  }
  options.output = text == "json" ? OutputFormat::kJson : OutputFormat::kTable;
  return std::nullopt;
}

std::optional<std::string> SetTimeout(Options& options,
                                      const std::string& text) {
  double number = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  const bool valid = error == std::errc() && stop == end && number > 0 &&
                     number <= kMaximumTimeoutSeconds;
  if (!valid) {
    return fmt::format("must be seconds, above 0 and at most {}",
                       kMaximumTimeoutSeconds);
  }
  options.timeout =
      Duration(static_cast<std::int64_t>(number * kMicrosecondsInSecond));
  return std::nullopt;
}

const std::vector<Flag>& AllFlags() {
  static const std::vector<Flag> flags = {
      {"server", '\0', "IP:PORT[,IP:PORT...]",
       "control machines to ask, in turn (default: $JUNIPERWAY_SERVER)",
       SetText(&Options::servers)},
      {"token-file", '\0', "FILE", "file that holds the API's bearer token",
       SetText(&Options::token_file)},
      {"output", 'o', "table|json", "form of the output (default: table)",
       SetOutput},
      {"timeout", '\0', "SECONDS", "give up after this time (default: 30)",
       SetTimeout},
      {"help", '?', "", "show this help", SetSwitch(&Options::help)},
      {"change-id", '\0', "ID",
       "name of the change; one that was seen before has no second effect "
       "(default: made up)",
       SetText(&Options::change_id)},
      {"wait", '\0', "", "return only when the change is in force",
       SetSwitch(&Options::wait)},
      {"file", 'f', "FILE", "JSON file, \"-\" for standard input; may repeat",
       AddFile},
      {"version", '\0', "VERSION",
       "version to delete (default: the current one)",
       SetNumber(&Options::version)},
      {"from", '\0', "REVISION",
       "show changes after this revision (default: from now on)",
       SetNumber(&Options::from_revision)},
      {"local", '\0', "", "read that machine's own state, which may lag",
       SetSwitch(&Options::local)},
      {"force", '\0', "", "replace the file if it exists",
       SetSwitch(&Options::force)},
      {"zone", '\0', "ZONE",
       "zone of a machine that has no Machine resource yet",
       SetText(&Options::zone)},
      {"data-folder", '\0', "FOLDER",
       "the new daemon's data_folder; must not hold a store yet",
       SetText(&Options::data_folder)},
      {"cluster", '\0', "NAME", "name of the fleet (default: the backup's)",
       SetText(&Options::cluster)},
      {"node-id", '\0', "ID", "this control machine's new id",
       SetNumber(&Options::node_id)},
      {"address", '\0', "IP:PORT", "this control machine's peer address",
       SetText(&Options::address)},
      {"skip-revisions", '\0', "COUNT",
       "revisions to leave out after the backup's (default: 1000000)",
       SetNumber(&Options::skip_revisions)},
  };
  return flags;
}

std::vector<const Flag*> FlagsNamed(const FlagNames& names) {
  std::vector<const Flag*> found;
  for (const Flag& flag : AllFlags()) {
    if (std::find(names.begin(), names.end(), flag.name) != names.end()) {
      found.push_back(&flag);
    }
  }
  return found;
}

std::vector<poptOption> PoptTable(const std::vector<const Flag*>& flags) {
  std::vector<poptOption> table;
  for (std::size_t index = 0; index < flags.size(); ++index) {
    const Flag& flag = *flags[index];
    const unsigned kind = flag.value.empty() ? POPT_ARG_NONE : POPT_ARG_STRING;
    table.push_back({flag.name.c_str(), flag.letter, kind, nullptr,
                     static_cast<int>(index) + kFirstFlagValue, nullptr,
                     nullptr});
  }
  table.push_back(poptOption POPT_TABLEEND);
  return table;
}

}  // namespace

Outcome<Options> ParseOptions(int argc, const char** argv,
                              const FlagNames& allowed) {
  const std::vector<const Flag*> flags = FlagsNamed(allowed);
  const std::vector<poptOption> table = PoptTable(flags);
  using Context = std::remove_pointer_t<poptContext>;
  const std::unique_ptr<Context, poptContext (*)(poptContext)> context(
      poptGetContext("juniperwayctl", argc, argv, table.data(), 0),
      poptFreeContext);
  Options options;
  int value = 0;
  while ((value = poptGetNextOpt(context.get())) >= kFirstFlagValue) {
    const std::unique_ptr<char, void (*)(void*)> text(
        poptGetOptArg(context.get()), std::free);
    const Flag& flag = *flags[value - kFirstFlagValue];
    if (const auto fault = flag.set(options, text ? text.get() : "")) {
      return Fail(ExitCode::kUsage, "--" + flag.name + ": " + *fault);
    }
  }
  if (value < -1) {
    return Fail(
        ExitCode::kUsage,
        fmt::format("{}: {}",
                    poptBadOption(context.get(), POPT_BADOPTION_NOALIAS),
                    poptStrerror(value)));
  }
  while (const char* argument = poptGetArg(context.get())) {
    options.arguments.emplace_back(argument);
  }
  return options;
}

std::string DescribeFlags(const FlagNames& names) {
  std::string text;
  for (const Flag* flag : FlagsNamed(names)) {
    const std::string letter =
        flag->letter == '\0' ? "    " : fmt::format("-{}, ", flag->letter);
    text += fmt::format("  {}{:<32}  {}\n", letter,
                        fmt::format("--{} {}", flag->name, flag->value),
                        flag->help);
  }
  return text;
}

}  // namespace juniperway::ctl

#include "daemon/command_line.h"

#include <popt.h>

#include <array>
#include <cstdlib>
#include <memory>

namespace juniperway::daemon {
namespace {

// popt returns these for the flags; the overrides' keys follow in order.
enum FlagValue { kSettings = 1, kFirstOverride };

constexpr std::array kOverrideKeys = {"name", "zone", "region", "data_folder",
                                      "log_folder"};

const poptOption* Options() {
  constexpr unsigned kText = POPT_ARG_STRING;
  static const std::array<poptOption, 8> options = {{
      {"settings", 's', kText, nullptr, kSettings, "settings file (TOML)",
       "FILE"},
      {"name", '\0', kText, nullptr, kFirstOverride, "in place of name",
       "NAME"},
      {"zone", '\0', kText, nullptr, kFirstOverride + 1, "in place of zone",
       "NAME"},
      {"region", '\0', kText, nullptr, kFirstOverride + 2, "in place of region",
       "NAME"},
      {"data-folder", '\0', kText, nullptr, kFirstOverride + 3,
       "in place of data_folder", "FOLDER"},
      {"log-folder", '\0', kText, nullptr, kFirstOverride + 4,
       "in place of log_folder", "FOLDER"},
      POPT_AUTOHELP POPT_TABLEEND,
  }};
  return options.data();
}

}  // namespace

Result<CommandLine> ParseCommandLine(int argc, const char** argv) {
  using Context = std::remove_pointer_t<poptContext>;
  const std::unique_ptr<Context, poptContext (*)(poptContext)> context(
      poptGetContext("juniperwayd", argc, argv, Options(), 0), poptFreeContext);
  CommandLine line;
  int value = 0;
  while ((value = poptGetNextOpt(context.get())) > 0) {
    const std::unique_ptr<char, void (*)(void*)> text(
        poptGetOptArg(context.get()), std::free);
    if (value == kSettings) {
      line.settings_file = text.get();
    } else {
      line.overrides[kOverrideKeys[value - kFirstOverride]] = text.get();
    }
  }
  if (value < -1) {
    return MakeError(ErrorCode::kInvalidArgument,
                     poptBadOption(context.get(), POPT_BADOPTION_NOALIAS),
                     poptStrerror(value));
  }
  if (const char* rest = poptGetArg(context.get())) {
    return MakeError(ErrorCode::kInvalidArgument, rest, "is no flag");
  }
  if (line.settings_file.empty()) {
    return MakeError(ErrorCode::kInvalidArgument, "--settings", "is required");
  }
  return line;
}

}  // namespace juniperway::daemon

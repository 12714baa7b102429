#include "lab/command_line.h"

#include <popt.h>

#include <charconv>
#include <cstdint>
#include <cstdlib>
#include <iterator>
#include <memory>
#include <utility>

namespace juniperway::lab {
namespace {

template <typename Number>
std::function<Result<void>(const std::string&)> NumberSetter(
    const std::string& flag, Number& target) {
  return [flag, &target](const std::string& text) -> Result<void> {
    const char* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, target);
    if (error != std::errc() || stop != end) {
      return MakeError(ErrorCode::kInvalidArgument, "--" + flag,
                       "must be a number");
    }
    return {};
  };
}

// popt returns this plus the flag's index.
constexpr int kFirstFlagValue = 1;

}  // namespace

CommandLine& CommandLine::AddFlag(Flag flag) {
  flags_.push_back(std::move(flag));
  return *this;
}

CommandLine& CommandLine::Add(const std::string& flag, std::string& target,
                              const std::string& help) {
  return AddFlag({flag, help, Type::kString,
                  [&target](const std::string& text) -> Result<void> {
                    target = text;
                    return {};
                  }});
}

CommandLine& CommandLine::Add(const std::string& flag, std::int64_t& target,
                              const std::string& help) {
  return AddFlag({flag, help, Type::kInteger, NumberSetter(flag, target)});
}

CommandLine& CommandLine::Add(const std::string& flag, double& target,
                              const std::string& help) {
  return AddFlag({flag, help, Type::kNumber, NumberSetter(flag, target)});
}

CommandLine& CommandLine::Add(const std::string& flag, bool& target,
                              const std::string& help) {
  return AddFlag({flag, help, Type::kSwitch,
                  [&target](const std::string&) -> Result<void> {
                    target = true;
                    return {};
                  }});
}

Result<std::vector<std::string>> CommandLine::Parse(int argc,
                                                    const char** argv) {
  std::vector<poptOption> options;
  for (std::size_t index = 0; index < flags_.size(); ++index) {
    const Flag& flag = flags_[index];
    const bool is_switch = flag.type == Type::kSwitch;
    options.push_back(
        {flag.name.c_str(), '\0',
         static_cast<unsigned>(is_switch ? POPT_ARG_NONE : POPT_ARG_STRING),
         nullptr, static_cast<int>(index) + kFirstFlagValue, flag.help.c_str(),
         is_switch ? nullptr : "VALUE"});
  }
  const poptOption last_options[] = {POPT_AUTOHELP POPT_TABLEEND};
  options.insert(options.end(), std::begin(last_options),
                 std::end(last_options));

  using Context = std::remove_pointer_t<poptContext>;
  const std::unique_ptr<Context, poptContext (*)(poptContext)> context(
      poptGetContext(name_.c_str(), argc, argv, options.data(), 0),
      poptFreeContext);
  int value = 0;
  while ((value = poptGetNextOpt(context.get())) >= kFirstFlagValue) {
    const std::unique_ptr<char, void (*)(void*)> argument(
        poptGetOptArg(context.get()), std::free);
    const Flag& flag = flags_[value - kFirstFlagValue];
    if (Result<void> set = flag.set(argument ? argument.get() : ""); !set) {
      return tl::unexpected<Error>(set.error());
    }
  }
  if (value < -1) {
    return MakeError(ErrorCode::kInvalidArgument,
                     poptBadOption(context.get(), POPT_BADOPTION_NOALIAS),
                     poptStrerror(value));
  }
  std::vector<std::string> rest;
  while (const char* argument = poptGetArg(context.get())) {
    rest.emplace_back(argument);
  }
  return rest;
}

}  // namespace juniperway::lab

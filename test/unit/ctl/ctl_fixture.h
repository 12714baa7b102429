// Runs juniperwayctl in this process against stand-ins for control machines.
#pragma once

#include <doctest/doctest.h>

#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "ctl/run.h"
#include "support/stand_in_control.h"
#include "support/temporary_folder.h"

namespace juniperway::ctl {

struct RunResult {
  int exit_code = -1;
  std::string out;
  std::string error;
};

struct CtlFixture {
  using Behaviour = test::StandInControl::Behaviour;

  explicit CtlFixture(std::size_t machines = 1) {
    for (std::size_t i = 0; i < machines; ++i) {
      controls.push_back(std::make_unique<test::StandInControl>(context, api));
      servers += (i == 0 ? "" : ",") + controls.back()->address();
    }
  }

  RunResult Run(std::vector<std::string> arguments,
                const std::string& input = "") {
    arguments.insert(arguments.begin(), "juniperwayctl");
    std::vector<const char*> argv;
    argv.reserve(arguments.size() + 1);
    for (const std::string& argument : arguments) {
      argv.push_back(argument.c_str());
    }
    argv.push_back(nullptr);
    std::istringstream in(input);
    std::ostringstream out;
    std::ostringstream error;
    RunResult result;
    result.exit_code = ctl::Run(static_cast<int>(arguments.size()), argv.data(),
                                servers, context, {in, out, error});
    result.out = out.str();
    result.error = error.str();
    return result;
  }

  // Applies text from standard input; must be accepted.
  void MustApply(const std::string& text) {
    const RunResult result = Run({"apply", "-f", "-"}, text);
    INFO(result.error);
    REQUIRE(result.exit_code == 0);
  }

  static bool Has(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
  }

  asio::io_context context;
  test::ApiFixture api;
  std::vector<std::unique_ptr<test::StandInControl>> controls;
  std::string servers;  // as in $JUNIPERWAY_SERVER
  test::TemporaryFolder folder;
};

inline constexpr const char* kServiceText =
    R"({"kind": "Service", "name": "wallet", "spec": {}})";
inline constexpr const char* kBackendText =
    R"({"kind": "Backend", "name": "w-1", "spec": {"service": "wallet",
        "address": "10.0.0.1:9000", "zone": "a", "slots": 5,
        "maximum_connections": 9, "shards": ["s0", "s1", "s2", "s3"]}})";

}  // namespace juniperway::ctl

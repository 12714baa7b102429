// What the command line takes and refuses before anything is sent.
#include <doctest/doctest.h>

#include "ctl/command.h"
#include "ctl/settings.h"
#include "unit/ctl/ctl_fixture.h"

namespace juniperway::ctl {

TEST_CASE("a wrong command line exits 2, names the fault and sends nothing") {
  CtlFixture ctl;
  struct Case {
    std::vector<std::string> arguments;
    std::string named;
  };
  const std::vector<Case> cases = {
      {{}, "no command"},
      {{"aply"}, "no command aply"},
      {{"apply"}, "--file"},
      {{"apply", "-f"}, "-f"},
      {{"apply", "-f", "x", "extra"}, "extra"},
      {{"get"}, "an argument is missing"},
      {{"get", "queue"}, "KIND: queue"},
      {{"get", "backend", "a b"}, "NAME: a b"},
      {{"get", "backend", "../apply"}, "NAME: ../apply"},
      {{"get", "backends", "--wait"}, "--wait"},
      {{"get", "backends", "--output", "yaml"}, "--output"},
      {{"get", "backends", "--timeout", "0"}, "--timeout"},
      {{"get", "backends", "--timeout", "nan"}, "--timeout"},
      {{"get", "backends", "--server", "localhost:1"}, "--server"},
      {{"get", "backends", "--server", "127.0.0.1:0"}, "--server"},
      {{"get", "backends", "--server", "127.0.0.1:1,,"}, "--server"},
      {{"delete", "backend", "x", "--version", "-1"}, "--version"},
      {{"watch", "--from", "12x"}, "--from"},
      {{"drain", "service/x"}, "service/x"},
      {{"members", "add", "4"}, "add ID IP:PORT"},
      {{"members", "add", "0", "127.0.0.1:1"}, "ID: 0"},
      {{"members", "add", "4", "there"}, "ADDRESS"},
      {{"restore", "x", "--node-id", "4"}, "--data-folder"},
      {{"restore", "x", "--data-folder", "y"}, "--node-id"},
      {{"restore", "x", "--data-folder", "y", "--node-id", "4"}, "--address"},
      {{"restore", "x", "--server", "127.0.0.1:1"}, "--server"},
  };
  for (const Case& wrong : cases) {
    const RunResult result = ctl.Run(wrong.arguments);
    CAPTURE(wrong.named);
    CAPTURE(result.error);
    CHECK(result.exit_code == 2);
    CHECK(ctl.Has(result.error, wrong.named));
    CHECK(result.out.empty());
  }
  CHECK(ctl.controls[0]->requests.empty());
}

TEST_CASE("every command explains itself, with each flag that it takes") {
  CtlFixture ctl;
  const RunResult all = ctl.Run({"--help"});
  CHECK(all.exit_code == 0);
  for (const Command& command : Commands()) {
    CHECK(ctl.Has(all.out, command.name));
    const RunResult help = ctl.Run({command.name, "--help"});
    CHECK(help.exit_code == 0);
    CHECK(ctl.Has(help.out, command.example));
    for (const std::string& flag : FlagsOf(command)) {
      CAPTURE(flag);
      CHECK(ctl.Has(help.out, "--" + flag + " "));
    }
  }
}

TEST_CASE("the server flag goes before the variable; the token is sent") {
  CtlFixture ctl;
  const std::string address = ctl.servers;
  ctl.servers = "127.0.0.1:1";
  const std::string token = ctl.folder.Write("token", "  s3cret \n");
  const RunResult result =
      ctl.Run({"get", "services", "--server", address, "--token-file", token});
  CHECK(result.exit_code == 0);
  REQUIRE(ctl.controls[0]->requests.size() == 1);
  CHECK(ctl.controls[0]->requests[0].Header("authorization") ==
        "Bearer s3cret");
  ctl.servers.clear();
  const RunResult none = ctl.Run({"get", "services"});
  CHECK(none.exit_code == 2);
  CHECK(ctl.Has(none.error, "--server"));
}

TEST_CASE("local files that cannot be read exit 7 and are named") {
  CtlFixture ctl;
  const std::string missing = ctl.folder.path() / "missing";
  const std::string empty = ctl.folder.Write("empty", "\n");
  const std::vector<std::vector<std::string>> cases = {
      {"apply", "-f", missing},
      {"apply", "-f", ctl.folder.path()},
      {"get", "services", "--token-file", missing},
      {"get", "services", "--token-file", empty}};
  for (const auto& arguments : cases) {
    const RunResult result = ctl.Run(arguments);
    CHECK(result.exit_code == 7);
    CHECK(ctl.Has(result.error, arguments.back()));
  }
  CHECK(ctl.controls[0]->requests.empty());
}

}  // namespace juniperway::ctl

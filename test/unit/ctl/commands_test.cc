// Each command against the resource API: what it prints, changes and exits
// with.
#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "unit/ctl/ctl_fixture.h"

namespace juniperway::ctl {
namespace {

using nlohmann::json;
using Behaviour = CtlFixture::Behaviour;

json Resource(const CtlFixture& ctl, const std::string& name) {
  for (const json& resource : ctl.api.Resources()) {
    if (resource["name"] == name) {
      return resource;
    }
  }
  return nullptr;
}

}  // namespace

TEST_CASE("files are applied as one change, and shown") {
  CtlFixture ctl;
  const std::string list = R"({"items": [)" + std::string(kServiceText) + "]}";
  const std::string first = ctl.folder.Write("a.json", list);
  const std::string second = ctl.folder.Write("b.json", kBackendText);
  const RunResult applied = ctl.Run({"apply", "-f", first, "-f", second});
  CAPTURE(applied.error);
  CHECK(applied.exit_code == 0);
  CHECK(ctl.Has(applied.out, "accepted at revision 1"));
  CHECK(ctl.Has(applied.out, "Backend  w-1     1"));
  CHECK(ctl.api.Resources().size() == 2);

  const RunResult table = ctl.Run({"get", "backends"});
  CHECK(table.exit_code == 0);
  CHECK(ctl.Has(table.out, "NAME  VERSION  SERVICE"));
  CHECK(ctl.Has(table.out, "s0,s1,s2,+1"));
  const RunResult described = ctl.Run({"describe", "backend", "w-1"});
  CHECK(ctl.Has(described.out, "spec.slots: 5\n"));
  CHECK(ctl.Has(described.out, "status.draining: no\n"));
}

TEST_CASE("what get prints can be edited and applied") {
  CtlFixture ctl;
  ctl.MustApply(kServiceText);
  ctl.MustApply(kBackendText);
  json backend =
      json::parse(ctl.Run({"get", "backend", "w-1", "-o", "json"}).out);
  REQUIRE(backend.contains("status"));
  backend["spec"]["slots"] = 7;
  ctl.MustApply(backend.dump());
  CHECK(Resource(ctl, "w-1")["spec"]["slots"] == 7);
  ctl.MustApply(ctl.Run({"get", "backends", "-o", "json"}).out);
}

TEST_CASE("a refusal exits 1, names field and file, and changes nothing") {
  CtlFixture ctl;
  const std::string good = ctl.folder.Write("good.json", kServiceText);
  const std::string bad =
      ctl.folder.Write("bad.json", R"({"kind": "Service", "name": "b",
                      "spec": {"queue_limit": -1}})");
  const RunResult both = ctl.Run({"apply", "-f", good, "-f", bad});
  CHECK(both.exit_code == 1);
  CHECK(ctl.Has(both.error, "items[1].spec.queue_limit"));
  CHECK(ctl.Has(both.error, "from " + bad));
  const RunResult single = ctl.Run({"apply", "-f", bad});
  CHECK(ctl.Has(single.error, ": spec.queue_limit: "));
  for (const std::string text :
       {"", "nonsense", "{\"kind\": \"Service\", \"kind\": \"Backend\"}",
        R"({"items": 3})", R"({"items": []})", R"({"items": [3]})",
        R"({"items": [], "extra": 1})", "[]", "3"}) {
    const RunResult result = ctl.Run({"apply", "-f", "-"}, text);
    CAPTURE(text);
    CAPTURE(result.error);
    CHECK(result.exit_code == 1);
  }
  CHECK(ctl.api.Resources().empty());
}

TEST_CASE("an old version exits 3") {
  CtlFixture ctl;
  ctl.MustApply(kServiceText);
  const RunResult result = ctl.Run({"apply", "-f", "-"}, kServiceText);
  CHECK(result.exit_code == 3);
  CHECK(ctl.Has(result.error, "version: current version is 1"));
  CHECK(ctl.Run({"delete", "service", "wallet", "--version", "7"}).exit_code ==
        3);
}

TEST_CASE("what does not exist exits 5") {
  CtlFixture ctl;
  const std::vector<std::vector<std::string>> cases = {
      {"get", "service", "none"},
      {"describe", "service", "none"},
      {"delete", "service", "none"},
      {"drain", "none"},
      {"undrain", "none"},
      {"changes", "none"},
      {"wait", "none"},
      {"drain", "backend/none", "--zone", "a"}};
  for (const auto& arguments : cases) {
    const RunResult result = ctl.Run(arguments);
    CAPTURE(arguments[0]);
    CHECK(result.exit_code == 5);
    CHECK(ctl.Has(result.error, "not_found"));
  }
}

TEST_CASE("drain and undrain set a back end's and a machine's field") {
  CtlFixture ctl;
  ctl.MustApply(kServiceText);
  ctl.MustApply(kBackendText);
  CHECK(ctl.Run({"drain", "w-1"}).exit_code == 0);
  CHECK(Resource(ctl, "w-1")["spec"]["drain"] == true);
  const RunResult again = ctl.Run({"drain", "w-1"});
  CHECK(again.exit_code == 0);
  CHECK(ctl.Has(again.error, "already"));
  CHECK(ctl.Run({"undrain", "w-1"}).exit_code == 0);
  CHECK(Resource(ctl, "w-1")["spec"]["drain"] == false);

  CHECK(ctl.Run({"drain", "machine/g-1", "--zone", "a"}).exit_code == 0);
  CHECK(Resource(ctl, "g-1")["spec"]["leaving"] == true);
  CHECK(ctl.Run({"undrain", "g-1"}).exit_code == 0);
  CHECK(Resource(ctl, "g-1")["spec"]["leaving"] == false);

  ctl.MustApply(R"({"kind": "Machine", "name": "w-1", "spec": {"zone": "a"}})");
  const RunResult ambiguous = ctl.Run({"drain", "w-1"});
  CHECK(ambiguous.exit_code == 2);
  CHECK(ctl.Has(ambiguous.error, "machine/w-1"));
  CHECK(ctl.Run({"drain", "backend/w-1"}).exit_code == 0);
  CHECK(Resource(ctl, "w-1")["spec"]["drain"] == true);
}

TEST_CASE("a drain that is sent again under its id is not made twice") {
  CtlFixture ctl;
  ctl.MustApply(kServiceText);
  ctl.MustApply(kBackendText);
  const std::vector<std::string> drain = {"drain", "w-1", "--change-id", "d"};
  CHECK(ctl.Run(drain).exit_code == 0);
  CHECK(ctl.Run({"undrain", "w-1"}).exit_code == 0);
  const RunResult again = ctl.Run(drain);
  CHECK(again.exit_code == 0);
  CHECK(ctl.Has(again.out, "it was sent before"));
  CHECK(Resource(ctl, "w-1")["spec"]["drain"] == false);
}

TEST_CASE("wait ends when the change is in force, or names what is missing") {
  CtlFixture ctl;
  const RunResult late = ctl.Run(
      {"apply", "-f", "-", "--change-id", "c", "--wait", "--timeout", "0.3"},
      kServiceText);
  CHECK(late.exit_code == 4);
  CHECK(ctl.Has(late.error, "change c is accepted at revision 1"));
  const RunResult accepted = ctl.Run({"changes", "c"});
  CHECK(accepted.exit_code == 0);
  CHECK(ctl.Has(accepted.out, "accepted"));
  ctl.api.PutInForce();
  const RunResult waited = ctl.Run({"wait", "c", "-o", "json"});
  CHECK(waited.exit_code == 0);
  CHECK(json::parse(waited.out)["state"] == "in_force");
}

TEST_CASE("a refused change is told apart when it is asked for") {
  CtlFixture ctl;
  ctl.MustApply(kServiceText);
  CHECK(ctl.Run({"apply", "-f", "-", "--change-id", "r"}, kServiceText)
            .exit_code == 3);
  CHECK(ctl.Run({"changes", "r"}).exit_code == 3);
  CHECK(ctl.Run({"wait", "r"}).exit_code == 3);
}

TEST_CASE("an answer of another server is not taken for success") {
  CtlFixture ctl;
  net::HttpServerOptions options;
  options.endpoint = {asio::ip::address_v4::loopback(), 0};
  std::string body = "<html>hello</html>";
  net::HttpServer other(ctl.context, options,
                        [&](const net::HttpRequest&, auto responder) {
                          net::HttpResponse response;
                          response.body = body;
                          responder->Send(response);
                        });
  ctl.servers = net::FormatEndpoint(other.local_endpoint());
  CHECK(ctl.Run({"get", "services"}).exit_code == 4);
  body = R"({"state": 7, "revision": "x", "items": {"a": 1}})";
  CHECK(ctl.Run({"wait", "c", "--timeout", "0.3"}).exit_code == 4);
  CHECK(ctl.Run({"apply", "-f", "-"}, kServiceText).exit_code == 4);
}

TEST_CASE("a zone is evacuated, listed and taken back into use") {
  CtlFixture ctl;
  const RunResult started =
      ctl.Run({"evacuate", "start", "tpe-a", "--change-id", "e1"});
  CAPTURE(started.error);
  CHECK(started.exit_code == 0);
  CHECK(ctl.Has(started.out, "e1 accepted at revision 1"));
  CHECK(ctl.Run({"evacuate", "start", "tpe-a"}).exit_code == 0);
  const RunResult listed = ctl.Run({"evacuate", "list"});
  CHECK(ctl.Has(listed.out, "tpe-a"));
  CHECK(ctl.Has(listed.out, "e1"));
  CHECK(ctl.Run({"evacuate", "end", "tpe-a"}).exit_code == 0);
  CHECK_FALSE(ctl.Has(ctl.Run({"evacuate", "list"}).out, "tpe-a"));
  for (const std::vector<std::string>& wrong :
       {std::vector<std::string>{"evacuate", "start"},
        {"evacuate", "list", "tpe-a"},
        {"evacuate", "pause", "tpe-a"}}) {
    CHECK(ctl.Run(wrong).exit_code == 2);
  }
  CHECK(ctl.Run({"evacuate", "start", std::string(200, 'z')}).exit_code == 1);
}

TEST_CASE("roll-outs are listed, ordered and removed") {
  CtlFixture ctl;
  CHECK(ctl.Run({"rollouts", "list"}).exit_code == 0);
  // Of a service that nobody knows.
  CHECK(ctl.Run({"rollouts", "start", "s1", "v2", "60"}).exit_code == 1);
  CHECK(ctl.Run({"rollouts", "remove", "s1"}).exit_code == 0);
  for (const std::vector<std::string>& wrong :
       {std::vector<std::string>{"rollouts", "start", "s1"},
        {"rollouts", "start", "s1", "v2", "soon"},
        {"rollouts", "list", "s1"},
        {"rollouts", "pause"}}) {
    CHECK(ctl.Run(wrong).exit_code == 2);
  }
}

TEST_CASE("requests under which back ends ended are listed and released") {
  CtlFixture ctl;
  const std::string fingerprint = "00000000000000a7";
  CHECK(ctl.Run({"crashing-requests", "list"}).exit_code == 0);
  // One that is not known is released all the same: it may be sent.
  const RunResult released = ctl.Run(
      {"crashing-requests", "release", fingerprint, "--change-id", "r1"});
  CAPTURE(released.error);
  CHECK(released.exit_code == 0);
  CHECK(ctl.Has(released.out, "r1 accepted"));
  CHECK(ctl.Run({"crashing-requests", "release", "a7"}).exit_code == 1);
  CHECK(ctl.Run({"crashing-requests", "release"}).exit_code == 2);
  CHECK(ctl.Run({"crashing-requests", "list", fingerprint}).exit_code == 2);
}

}  // namespace juniperway::ctl

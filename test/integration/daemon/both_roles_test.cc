// One process that is gateway and control machine at once, without the lab's
// proxy: the smallest installation there is.
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>

#include "common/resources/resource_json.h"
#include "integration/daemon/fleet_fixture.h"
#include "lab/fleet/child_process.h"
#include "lab/wait.h"
#include "support/certificates.h"

namespace juniperway::test {
namespace {

constexpr Duration kLimit = seconds(60);
const std::string kBinaries = JUNIPERWAY_BINARY_FOLDER;

// A loopback address of this test process alone; the port of a control machine
// must be known before it starts.
std::string OwnPeerAddress() {
  const int pid = ::getpid();
  return fmt::format("127.{}.{}.{}:7100", 200 + pid / 62500 % 50,
                     pid / 250 % 250, pid % 250 + 1);
}

std::string TlsTable(const net::TlsFiles& files) {
  return fmt::format(
      "[tls]\ncertificate_file = \"{}\"\nkey_file = \"{}\"\n"
      "authority_file = \"{}\"\n",
      files.certificate.string(), files.key.string(), files.authority.string());
}

std::string Settings(const TemporaryFolder& folder) {
  const std::string peer = OwnPeerAddress();
  return fmt::format(
      "name = \"all\"\ncluster = \"test\"\nzone = \"a\"\n"
      "roles = [\"gateway\", \"control\"]\n"
      "data_folder = \"{}\"\ncontrol_peers = [\"{}\"]\n"
      "[gateway]\nhttp_listen = \"127.0.0.1:0\"\n"
      "peer_listen = \"127.0.0.1:0\"\n"
      "[control]\nnode_id = 1\nbootstrap = true\n"
      "http_listen = \"127.0.0.1:0\"\npeer_listen = \"{}\"\n"
      "initial_members = [\"1={}\"]\n",
      (folder.path() / "data").string(), peer, peer, peer);
}

// One service, its back end and its first snapshot, as an operator writes them.
std::string Resources(const std::string& backend) {
  nlohmann::json partitions = nlohmann::json::array();
  nlohmann::json shards = nlohmann::json::array();
  for (const auto& partition : lab::EvenPartitions("shard-", 4)) {
    partitions.push_back({{"begin", partition.range.begin},
                          {"end", partition.range.end},
                          {"shard", partition.shard}});
    shards.push_back(partition.shard);
  }
  const nlohmann::json items = {
      {{"kind", "Service"}, {"name", "search"}, {"spec", nlohmann::json({})}},
      {{"kind", "Backend"},
       {"name", "backend-1"},
       {"spec",
        {{"service", "search"},
         {"address", backend},
         {"zone", "a"},
         {"slots", 5},
         {"maximum_connections", 75},
         {"shards", shards}}}},
      {{"kind", "IndexSnapshot"},
       {"name", "search-1"},
       {"spec",
        {{"service", "search"},
         {"index_version", 1},
         {"partitions", partitions}}}}};
  return nlohmann::json{{"items", items}}.dump();
}

}  // namespace

TEST_CASE("One process in both roles serves queries and stops") {
  const TemporaryFolder folder;
  auto backend =
      lab::ChildProcess::Start(kBinaries + "/juniperway-lab", {"backend"},
                               (folder.path() / "backend.log").string());
  REQUIRE(backend.has_value());
  auto backend_addresses = backend->WaitUntilReady(kLimit);
  REQUIRE(backend_addresses.has_value());

  std::string text = Settings(folder);
  SUBCASE("in clear") {}
  SUBCASE("with TLS inside the fleet") {
    const CertificateAuthority authority(folder.path(), "fleet");
    text += TlsTable(authority.Issue("all"));
  }
  const auto settings = folder.path() / "all.toml";
  std::ofstream(settings) << text;
  auto daemon = lab::ChildProcess::Start(kBinaries + "/juniperwayd",
                                         {"--settings", settings.string()},
                                         (folder.path() / "all.log").string());
  REQUIRE(daemon.has_value());
  auto addresses = daemon->WaitUntilReady(kLimit);
  REQUIRE(addresses.has_value());

  lab::BlockingHttp http;
  const auto post = [&](const std::string& listener, const std::string& path,
                        const std::string& body) {
    return http.Post("http://" + addresses->at(listener) + path, body);
  };
  REQUIRE(lab::WaitFor(kLimit, [&] {
    return post("control.http", "/v1/apply",
                Resources(backend_addresses->at("backend.backend-1")))
               .status == 200;
  }));
  net::HttpClientResponse answer;
  REQUIRE(lab::WaitFor(kLimit, [&] {
    answer =
        post("gateway.http", "/v1/services/search/query", R"({"query": "*"})");
    return answer.status == 200;
  }));
  CHECK(nlohmann::json::parse(answer.body)["coverage"]["share"] == 1.0);
  const auto metrics =
      http.Get("http://" + addresses->at("gateway.http") + "/metrics");
  CHECK(metrics.body.find("juniperway_session_lease 1") != std::string::npos);
  CHECK(metrics.body.find("juniperway_front_queries_total{") !=
        std::string::npos);
  CHECK(metrics.body.find("juniperway_owner_backend_owned{") !=
        std::string::npos);

  daemon->Signal(SIGTERM);
  CHECK(daemon->Wait(kLimit) == 0);
}

TEST_CASE("A gateway that is cut off from control still stops") {
  TestFleet test({.gateways = 1, .backends = 2});
  test.fleet->Kill("control-1");
  REQUIRE(lab::WaitFor(kLimit, [&] {
    return !test.fleet->GetFromGateway("a-gateway-1", "/v1/ready");
  }));
  const auto stop = test.fleet->Stop("a-gateway-1", kLimit);
  REQUIRE(stop.has_value());
  CHECK(stop->exit_status == 0);
}

}  // namespace juniperway::test

// The poller of the discovery list against a list that answers a second time.
#include "common/control/discovery_poller.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <vector>

#include "common/net/address.h"
#include "support/event_loop.h"
#include "support/scripted_server.h"

namespace juniperway::control {
namespace {

// A whole list of one backend, whose id is the number of the call.
std::string ListOf(int call) {
  const std::string body = fmt::format(
      R"({{"backends": [{{"id": "b{}", "service": "s", "zone": "z",
      "address": "127.0.0.1:9", "version": "v1", "slots": 1,
      "warmup_left_ms": 0, "state": "live"}}], "next_page": null}})",
      call);
  return fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}",
                     body.size(), body);
}

TEST_CASE("a late second copy of the list is not the next list") {
  asio::io_context context;
  int calls = 0;
  test::ScriptedServer server(context, [&calls](const std::string&) {
    const std::string list = ListOf(++calls);
    return test::ScriptedAnswer{.bytes = list,
                                .ending = test::ScriptedAnswer::Ending::kKeep,
                                .late = list};
  });
  constexpr std::size_t kLists = 5;
  std::vector<std::string> ids;
  DiscoveryPoller poller(
      context,
      {.url = "http://" + net::FormatEndpoint(server.endpoint()) + "/list",
       .interval = milliseconds(1),
       .calls_per_second = 10'000},
      {.is_leading = [] { return true; },
       .on_list =
           [&ids](const DiscoveryList& list) {
             REQUIRE(list.size() == 1);
             ids.push_back(list.begin()->first);
           },
       .on_faults = [](const EntryFaults&) {}});
  poller.Start();
  REQUIRE(test::RunUntil(context, [&] { return ids.size() >= kLists; }));
  for (std::size_t i = 0; i < kLists; ++i) {
    CHECK(ids.at(i) == fmt::format("b{}", i + 1));
  }
}

}  // namespace
}  // namespace juniperway::control

// A back end whose answers come a second time, after the next search on the
// connection.
#include <doctest/doctest.h>
#include <fmt/format.h>

#include <memory>
#include <optional>

#include "common/gateway/backend_client.h"
#include "common/net/address.h"
#include "support/event_loop.h"
#include "support/scripted_server.h"

namespace juniperway::gateway {
namespace {

std::string AnswerTo(const std::string& attempt) {
  return fmt::format(
      "HTTP/1.1 200 OK\r\nX-Attempt-Id: {0}\r\nContent-Length: {1}\r\n\r\n{0}",
      attempt, attempt.size());
}

TEST_CASE("a late reply to a search is not the reply to the next one") {
  asio::io_context context;
  test::ScriptedServer server(context, [](const std::string& head) {
    const std::string answer = AnswerTo(test::FieldOf(head, "X-Attempt-Id"));
    return test::ScriptedAnswer{.bytes = answer,
                                .ending = test::ScriptedAnswer::Ending::kKeep,
                                .late = answer};
  });
  BackendClient client(context, net::FormatEndpoint(server.endpoint()),
                       /*maximum_connections=*/1);
  const auto query = std::make_shared<const QueryContext>();
  int replies = 0;
  for (int number = 1; number <= 5; ++number) {
    const std::string attempt = fmt::format("attempt-{}", number);
    std::optional<net::HttpClientResponse> reply;
    client.Search(
        number,
        {.query = query, .attempt_id = attempt, .shard = "s", .range = {}},
        seconds(1), seconds(10),
        [&](const net::HttpClientResponse& response) { reply = response; });
    REQUIRE(test::RunUntil(context, [&] { return reply.has_value(); }));
    if (reply->progress == net::HttpProgress::kAnswered) {
      CHECK(reply->body == attempt);
      ++replies;
    }
  }
  // Each search after one that was answered reads its late reply first.
  CHECK(replies == 3);
}

}  // namespace
}  // namespace juniperway::gateway

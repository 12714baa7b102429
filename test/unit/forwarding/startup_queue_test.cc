// Requests that come before a router's first route table.
#include "common/forwarding/startup_queue.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <vector>

namespace juniperway::forwarding {
namespace {

class FakeResponder : public net::HttpResponder {
 public:
  void Send(net::HttpResponse response) override { sent = response.status; }
  void OnCallerGone(std::function<void()> listener) override {
    gone = std::move(listener);
  }

  std::optional<int> sent;
  std::function<void()> gone;
};

net::HttpRequest Request(const std::string& target,
                         const std::string& body = "") {
  net::HttpRequest request;
  request.target = target;
  request.body = body;
  return request;
}

struct Queue {
  StartupQueue::Handler Into(std::vector<std::string>& targets) {
    return [&targets](const StartupQueue::HeldRequestPointer& held) {
      targets.push_back(held->message.target);
    };
  }

  bool Hold(const net::HttpRequest& request) {
    responders.push_back(std::make_shared<FakeResponder>());
    return queue.Hold(request, responders.back(), now);
  }

  asio::io_context context;
  std::vector<std::string> expired;
  StartupQueue queue{context, Into(expired)};
  std::vector<std::shared_ptr<FakeResponder>> responders;
  MonotonicTime now{seconds(100)};
};

TEST_CASE("what is held is handed on in the order of arrival, once") {
  Queue world;
  CHECK(world.Hold(Request("/a")));
  CHECK(world.Hold(Request("/b")));
  std::vector<std::string> released;
  world.queue.Release(world.Into(released));
  world.queue.Release(world.Into(released));
  CHECK(released == std::vector<std::string>{"/a", "/b"});
  CHECK(world.queue.size() == 0);
  CHECK_FALSE(world.responders.front()->sent);
}

TEST_CASE("nothing is held once the table is there") {
  Queue world;
  std::vector<std::string> released;
  world.queue.Release(world.Into(released));
  CHECK_FALSE(world.Hold(Request("/a")));
}

TEST_CASE("what is still held when the time is over is handed to the refuser") {
  Queue world;
  CHECK(world.Hold(Request("/a")));
  world.context.run();
  CHECK(world.expired == std::vector<std::string>{"/a"});
  CHECK_FALSE(world.Hold(Request("/b")));
}

TEST_CASE("a request whose caller has left is dropped") {
  Queue world;
  CHECK(world.Hold(Request("/a")));
  CHECK(world.Hold(Request("/b")));
  world.responders.front()->gone();
  std::vector<std::string> released;
  world.queue.Release(world.Into(released));
  CHECK(released == std::vector<std::string>{"/b"});
}

TEST_CASE("requests and their bytes are bounded") {
  Queue world;
  SUBCASE("requests") {
    for (std::size_t i = 0; i < StartupQueue::kMaximumRequests; ++i) {
      REQUIRE(world.Hold(Request("/a")));
    }
    CHECK_FALSE(world.Hold(Request("/a")));
  }
  SUBCASE("bytes") {
    const std::string half(StartupQueue::kMaximumBodyBytes / 2, 'x');
    CHECK(world.Hold(Request("/a", half)));
    CHECK(world.Hold(Request("/a", half)));
    CHECK_FALSE(world.Hold(Request("/a", "y")));
    CHECK(world.Hold(Request("/a")));
  }
}

}  // namespace
}  // namespace juniperway::forwarding

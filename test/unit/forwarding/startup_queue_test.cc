// Tests the queue of requests that arrive before a router's first route table.
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
  void OnClientGone(std::function<void()> listener) override {
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
    return [&targets](const StartupQueue::QueuedRequestPointer& queued) {
      targets.push_back(queued->message.target);
    };
  }

  bool Enqueue(const net::HttpRequest& request) {
    responders.push_back(std::make_shared<FakeResponder>());
    return queue.Enqueue(request, responders.back(), now);
  }

  asio::io_context context;
  std::vector<std::string> expired;
  StartupQueue queue{context, Into(expired)};
  std::vector<std::shared_ptr<FakeResponder>> responders;
  MonotonicTime now{seconds(100)};
};

TEST_CASE("queued requests are released in the order of arrival, once") {
  Queue world;
  CHECK(world.Enqueue(Request("/a")));
  CHECK(world.Enqueue(Request("/b")));
  std::vector<std::string> released;
  world.queue.Release(world.Into(released));
  world.queue.Release(world.Into(released));
  CHECK(released == std::vector<std::string>{"/a", "/b"});
  CHECK(world.queue.size() == 0);
  CHECK_FALSE(world.responders.front()->sent);
}

TEST_CASE("a released queue accepts no requests") {
  Queue world;
  std::vector<std::string> released;
  world.queue.Release(world.Into(released));
  CHECK_FALSE(world.Enqueue(Request("/a")));
}

TEST_CASE("requests that are still queued when the time is over expire") {
  Queue world;
  CHECK(world.Enqueue(Request("/a")));
  world.context.run();
  CHECK(world.expired == std::vector<std::string>{"/a"});
  CHECK_FALSE(world.Enqueue(Request("/b")));
}

TEST_CASE("a request whose client has disconnected is dropped") {
  Queue world;
  CHECK(world.Enqueue(Request("/a")));
  CHECK(world.Enqueue(Request("/b")));
  world.responders.front()->gone();
  std::vector<std::string> released;
  world.queue.Release(world.Into(released));
  CHECK(released == std::vector<std::string>{"/b"});
}

TEST_CASE("requests and their bytes are bounded") {
  Queue world;
  SUBCASE("requests") {
    for (std::size_t i = 0; i < StartupQueue::kMaximumRequests; ++i) {
      REQUIRE(world.Enqueue(Request("/a")));
    }
    CHECK_FALSE(world.Enqueue(Request("/a")));
  }
  SUBCASE("bytes") {
    const std::string half(StartupQueue::kMaximumBodyBytes / 2, 'x');
    CHECK(world.Enqueue(Request("/a", half)));
    CHECK(world.Enqueue(Request("/a", half)));
    CHECK_FALSE(world.Enqueue(Request("/a", "y")));
    CHECK(world.Enqueue(Request("/a")));
  }
}

}  // namespace
}  // namespace juniperway::forwarding

// Tests the route index: a request gets the route of its host with the longest
// path prefix.
#include "common/routes/route_index.h"

#include <doctest/doctest.h>

#include <memory>

namespace juniperway::routes {
namespace {

RouteTablePointer Table() {
  auto table = std::make_shared<RouteTable>();
  const auto add = [&table](const char* name, const char* host,
                            const char* prefix) {
    Route route;
    route.name = name;
    route.host = host;
    route.path_prefix = prefix;
    table->routes.push_back(route);
  };
  add("root", "a.example", "/");
  add("deep", "a.example", "/x/y/");
  add("middle", "a.example", "/x/");
  add("other", "b.example", "/x/");
  return table;
}

std::string Find(const RouteIndex& index, const char* host, const char* path) {
  const Route* route = index.Find(host, path);
  return route == nullptr ? "" : route->name;
}

TEST_CASE("the longest prefix of the host wins") {
  const RouteIndex index(Table());
  CHECK(Find(index, "a.example", "/x/y/z") == "deep");
  CHECK(Find(index, "a.example", "/x/y/") == "deep");
  CHECK(Find(index, "a.example", "/x/y") == "middle");
  CHECK(Find(index, "a.example", "/xy/z") == "root");
  CHECK(Find(index, "a.example", "/") == "root");
  CHECK(Find(index, "b.example", "/x/1") == "other");
}

TEST_CASE("case and port of the host are ignored") {
  const RouteIndex index(Table());
  CHECK(Find(index, "A.Example:8080", "/x/y/z") == "deep");
}

TEST_CASE("a request that matches no route gets none") {
  const RouteIndex index(Table());
  CHECK(Find(index, "b.example", "/y/") == "");
  CHECK(Find(index, "c.example", "/x/") == "");
  CHECK(Find(index, "a.example", "") == "");
  CHECK(Find(index, "a.example", "*") == "");
}

}  // namespace
}  // namespace juniperway::routes

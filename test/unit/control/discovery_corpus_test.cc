// Parses every input of the fuzzing corpus: none may crash the parser of the
// discovery list or make it return an unusable backend.
#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <iterator>

#include "common/control/discovery_page.h"
#include "common/net/address.h"

namespace juniperway::control {
namespace {

constexpr WallTime kNow{seconds(1'700'000'000)};

TEST_CASE("no page of the fuzzing corpus yields an unusable backend") {
  const auto corpus = std::filesystem::path(JUNIPERWAY_SOURCE_FOLDER) / "test" /
                      "fuzz" / "corpus" / "discovery_page";
  std::size_t pages = 0;
  for (const auto& file : std::filesystem::directory_iterator(corpus)) {
    CAPTURE(file.path().filename().string());
    std::ifstream stream(file.path(), std::ios::binary);
    const std::string text{std::istreambuf_iterator<char>(stream), {}};
    const auto page = ParseDiscoveryPage(text, kNow);
    ++pages;
    if (!page) {
      continue;
    }
    for (const auto& [id, backend] : page->backends) {
      CHECK(id == backend.id);
      CHECK_FALSE(id.empty());
      CHECK_FALSE(backend.service.empty());
      CHECK_FALSE(backend.zone.empty());
      CHECK(backend.slots > 0);
      CHECK(net::ParseEndpoint(backend.address, ""));
      CHECK(backend.start <= kNow + seconds(60));
    }
  }
  CHECK(pages > 0);
}

}  // namespace
}  // namespace juniperway::control

// Tests the parser of discovery list pages: which entries become backends, and
// that a faulty entry does not affect the others.
#include "common/control/discovery_page.h"

#include <doctest/doctest.h>

#include <string>

namespace juniperway::control {
namespace {

constexpr WallTime kNow{seconds(1'700'000'000)};
constexpr std::uint64_t kNowMs = 1'700'000'000'000;

const std::string kValidEntry =
    R"({"id": "i-1", "service": "s", "address": "10.0.0.1:80", "zone": "z",
        "version": "v1", "slots": 5, "state": "live", "warmup_left_ms": 0})";

std::string PageOf(const std::string& entries) {
  return R"({"backends": [)" + entries + R"(], "next_page": null})";
}

// Returns the valid entry with one field set to `value`, or without the field
// if `value` is empty.
std::string EntryWith(const std::string& field, const std::string& value) {
  std::string entry = kValidEntry;
  const std::size_t begin = entry.find("\"" + field + "\"");
  REQUIRE(begin != std::string::npos);
  const std::size_t end = entry.find_first_of(",}", begin);
  const std::string name = value.empty() ? "unknown" : field;
  entry.replace(begin, end - begin,
                "\"" + name + "\": " + (value.empty() ? "1" : value));
  return entry;
}

// Parses a page with `entry` between two valid entries.
DiscoveryPage ParseBetweenValid(const std::string& entry) {
  std::string last = kValidEntry;
  last.replace(last.find("i-1"), 3, "i-9");
  auto page =
      ParseDiscoveryPage(PageOf(kValidEntry + "," + entry + "," + last), kNow);
  REQUIRE(page);
  CHECK(page->backends.contains("i-1"));
  CHECK(page->backends.contains("i-9"));
  return *page;
}

void CheckSkipped(const std::string& entry, EntryFault fault) {
  CAPTURE(entry);
  const DiscoveryPage page = ParseBetweenValid(entry);
  CHECK(page.backends.size() == 2);
  CHECK(page.faults == EntryFaults{{fault, 1}});
}

TEST_CASE("a page yields backends and the token of the next page") {
  const auto page = ParseDiscoveryPage(R"({"backends": [)" + kValidEntry + R"(,
      {"id": "i-2", "service": "s", "address": "10.0.0.2:80", "zone": "z",
       "version": "v1", "slots": 3, "state": "leaving", "warmup_left_ms": 0}],
      "next_page": "p-2"})",
                                       kNow);
  REQUIRE(page);
  CHECK(page->next_page == "p-2");
  CHECK(page->backends.at("i-1").slots == 5);
  CHECK_FALSE(page->backends.at("i-1").draining);
  CHECK(page->backends.at("i-2").draining);
  CHECK(page->faults.empty());
}

TEST_CASE("a backend with warm-up time remaining is cold") {
  auto page =
      ParseDiscoveryPage(PageOf(EntryWith("warmup_left_ms", "1200")), kNow);
  REQUIRE(page);
  CHECK(page->backends.at("i-1").cold);
  page = ParseDiscoveryPage(PageOf(kValidEntry), kNow);
  REQUIRE(page);
  CHECK_FALSE(page->backends.at("i-1").cold);
}

TEST_CASE("the last page has no next page") {
  const auto page =
      ParseDiscoveryPage(R"({"backends": [], "next_page": null})", kNow);
  REQUIRE(page);
  CHECK(page->next_page.empty());
}

TEST_CASE("a page without a valid list and next page is refused") {
  CHECK_FALSE(ParseDiscoveryPage("{", kNow));
  CHECK_FALSE(ParseDiscoveryPage("", kNow));
  CHECK_FALSE(ParseDiscoveryPage("[]", kNow));
  CHECK_FALSE(ParseDiscoveryPage(R"({"next_page": null})", kNow));
  CHECK_FALSE(ParseDiscoveryPage(R"({"backends": {}})", kNow));
  CHECK_FALSE(ParseDiscoveryPage(R"({"backends": [], "next_page": 7})", kNow));
}

TEST_CASE("a page truncated at any byte is refused") {
  const std::string page = PageOf(kValidEntry + "," + kValidEntry);
  for (std::size_t length = 0; length < page.size(); ++length) {
    CAPTURE(length);
    CHECK_FALSE(ParseDiscoveryPage(page.substr(0, length), kNow));
  }
}

TEST_CASE("an entry that lacks a required field is skipped") {
  for (const char* field : {"id", "service", "address", "zone", "version",
                            "slots", "state", "warmup_left_ms"}) {
    CheckSkipped(EntryWith(field, ""), EntryFault::kMissingField);
    CheckSkipped(EntryWith(field, "null"), EntryFault::kMissingField);
  }
  CheckSkipped(EntryWith("id", "\"\""), EntryFault::kMissingField);
}

TEST_CASE("an entry with a field of the wrong type is skipped") {
  for (const char* field :
       {"id", "service", "address", "zone", "version", "state"}) {
    CheckSkipped(EntryWith(field, "7"), EntryFault::kWrongType);
  }
  CheckSkipped(EntryWith("slots", "\"5\""), EntryFault::kWrongType);
  CheckSkipped(EntryWith("warmup_left_ms", "false"), EntryFault::kWrongType);
}

TEST_CASE("an entry with an unknown state is skipped") {
  CheckSkipped(EntryWith("state", "\"ready\""), EntryFault::kUnknownState);
  CheckSkipped(EntryWith("state", "\"LIVE\""), EntryFault::kUnknownState);
}

TEST_CASE("an entry with a number out of range is skipped") {
  for (const char* slots : {"0", "-1", "2.5", "1e30", "18446744073709551615",
                            "99999999999999999999999"}) {
    CheckSkipped(EntryWith("slots", slots), EntryFault::kBadNumber);
  }
}

TEST_CASE("an entry with an unusable address is skipped") {
  for (const char* address :
       {"\"10.0.0.1\"", "\"10.0.0.1:0\"", "\"0.0.0.0:80\"",
        "\"example.org:80\"", "\"10.0.0.1:99999\"", "\"10.0.0.1:80/x\""}) {
    CheckSkipped(EntryWith("address", address), EntryFault::kBadAddress);
  }
}

TEST_CASE("an entry that is not a JSON object is skipped alone") {
  for (const char* entry :
       {"7", "null", "\"text\"", "[]", "{\"id\": }", "{id}",
        "{\"id\": \"\xff\xfe\"}", "{\"id\": \"\\ud800\"}", "{\"id\": \"a\nb\"}",
        "{\"slots\": NaN}", "{\"slots\": 1e999}", ""}) {
    CheckSkipped(entry, EntryFault::kUnreadable);
  }
}

TEST_CASE("the first of two entries with the same id is kept") {
  CheckSkipped(EntryWith("address", "\"10.9.9.9:80\""),
               EntryFault::kDuplicateId);
  const auto page = ParseBetweenValid(EntryWith("address", "\"10.9.9.9:80\""));
  CHECK(page.backends.at("i-1").address == "10.0.0.1:80");
}

TEST_CASE("an id that repeats on a later page is counted as a duplicate") {
  DiscoveryList list;
  EntryFaults faults;
  MergeDiscoveryPage(*ParseDiscoveryPage(PageOf(kValidEntry), kNow), list,
                     faults);
  MergeDiscoveryPage(*ParseDiscoveryPage(PageOf(kValidEntry), kNow), list,
                     faults);
  CHECK(list.size() == 1);
  CHECK(faults == EntryFaults{{EntryFault::kDuplicateId, 1}});
}

// Returns the valid entry with a start time.
std::string EntryWithStart(const std::string& value) {
  std::string entry = kValidEntry;
  entry.insert(entry.rfind('}'), R"(, "born": )" + value);
  return entry;
}

TEST_CASE("an entry gives the start time of its backend") {
  const auto page = ParseDiscoveryPage(
      PageOf(EntryWithStart(std::to_string(kNowMs - 5000))), kNow);
  REQUIRE(page);
  CHECK(page->backends.at("i-1").start == kNow - seconds(5));
  CHECK(page->faults.empty());
}

TEST_CASE("an invalid start time is ignored and the backend is kept") {
  for (const std::string& start :
       {std::string("\"1700000000000\""), std::string("1.5"), std::string("-1"),
        std::string("0"), std::string("true"), std::string("[]"),
        std::string("18446744073709551615"),
        std::to_string(kNowMs + 120'000)}) {
    CAPTURE(start);
    const auto page = ParseDiscoveryPage(PageOf(EntryWithStart(start)), kNow);
    REQUIRE(page);
    REQUIRE(page->backends.contains("i-1"));
    CHECK(page->backends.at("i-1").start == WallTime{});
    CHECK(page->faults == EntryFaults{{EntryFault::kInvalidStartTime, 1}});
  }
  const auto page = ParseDiscoveryPage(PageOf(EntryWithStart("null")), kNow);
  REQUIRE(page);
  CHECK(page->faults.empty());
}

TEST_CASE("a known start time is kept and never decreases") {
  const WallTime unknown{};
  const WallTime earlier = kNow - seconds(9);
  CHECK(CombineStartTimes(unknown, kNow) == kNow);
  CHECK(CombineStartTimes(kNow, unknown) == kNow);
  CHECK(CombineStartTimes(kNow, earlier) == kNow);
  CHECK(CombineStartTimes(earlier, kNow) == kNow);
}

}  // namespace
}  // namespace juniperway::control

// The discovery list's pages: which entries name a back end, and that a faulty
// one takes no other with it.
#include "common/control/discovery_page.h"

#include <doctest/doctest.h>

#include <string>

namespace juniperway::control {
namespace {

constexpr WallTime kNow{seconds(1'700'000'000)};
constexpr std::uint64_t kNowMs = 1'700'000'000'000;

const std::string kSound =
    R"({"id": "i-1", "service": "s", "address": "10.0.0.1:80", "zone": "z",
        "version": "v1", "slots": 5, "state": "live", "warmup_left_ms": 0})";

std::string PageOf(const std::string& entries) {
  return R"({"backends": [)" + entries + R"(], "next_page": null})";
}

// The sound entry with one field replaced by `value`; empty: without it.
std::string Altered(const std::string& field, const std::string& value) {
  std::string entry = kSound;
  const std::size_t begin = entry.find("\"" + field + "\"");
  REQUIRE(begin != std::string::npos);
  const std::size_t end = entry.find_first_of(",}", begin);
  const std::string name = value.empty() ? "unknown" : field;
  entry.replace(begin, end - begin,
                "\"" + name + "\": " + (value.empty() ? "1" : value));
  return entry;
}

// A page with an entry of another writer between two sound ones.
DiscoveryPage ReadWith(const std::string& entry) {
  std::string last = kSound;
  last.replace(last.find("i-1"), 3, "i-9");
  auto page =
      ParseDiscoveryPage(PageOf(kSound + "," + entry + "," + last), kNow);
  REQUIRE(page);
  CHECK(page->backends.contains("i-1"));
  CHECK(page->backends.contains("i-9"));
  return *page;
}

void CheckPassedOver(const std::string& entry, EntryFault fault) {
  CAPTURE(entry);
  const DiscoveryPage page = ReadWith(entry);
  CHECK(page.backends.size() == 2);
  CHECK(page.faults == EntryFaults{{fault, 1}});
}

TEST_CASE("a page gives back ends and the next page") {
  const auto page = ParseDiscoveryPage(R"({"backends": [)" + kSound + R"(,
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

TEST_CASE("a back end that is still warming up is cold") {
  auto page =
      ParseDiscoveryPage(PageOf(Altered("warmup_left_ms", "1200")), kNow);
  REQUIRE(page);
  CHECK(page->backends.at("i-1").cold);
  page = ParseDiscoveryPage(PageOf(kSound), kNow);
  REQUIRE(page);
  CHECK_FALSE(page->backends.at("i-1").cold);
}

TEST_CASE("the last page names none") {
  const auto page =
      ParseDiscoveryPage(R"({"backends": [], "next_page": null})", kNow);
  REQUIRE(page);
  CHECK(page->next_page.empty());
}

TEST_CASE("a page that cannot be read as a whole is refused") {
  CHECK_FALSE(ParseDiscoveryPage("{", kNow));
  CHECK_FALSE(ParseDiscoveryPage("", kNow));
  CHECK_FALSE(ParseDiscoveryPage("[]", kNow));
  CHECK_FALSE(ParseDiscoveryPage(R"({"next_page": null})", kNow));
  CHECK_FALSE(ParseDiscoveryPage(R"({"backends": {}})", kNow));
  CHECK_FALSE(ParseDiscoveryPage(R"({"backends": [], "next_page": 7})", kNow));
}

TEST_CASE("a page that was cut short anywhere is refused") {
  const std::string page = PageOf(kSound + "," + kSound);
  for (std::size_t length = 0; length < page.size(); ++length) {
    CAPTURE(length);
    CHECK_FALSE(ParseDiscoveryPage(page.substr(0, length), kNow));
  }
}

TEST_CASE("an entry without one of the fields names no back end") {
  for (const char* field : {"id", "service", "address", "zone", "version",
                            "slots", "state", "warmup_left_ms"}) {
    CheckPassedOver(Altered(field, ""), EntryFault::kMissingField);
    CheckPassedOver(Altered(field, "null"), EntryFault::kMissingField);
  }
  CheckPassedOver(Altered("id", "\"\""), EntryFault::kMissingField);
}

TEST_CASE("an entry with a field of another type names no back end") {
  for (const char* field :
       {"id", "service", "address", "zone", "version", "state"}) {
    CheckPassedOver(Altered(field, "7"), EntryFault::kWrongType);
  }
  CheckPassedOver(Altered("slots", "\"5\""), EntryFault::kWrongType);
  CheckPassedOver(Altered("warmup_left_ms", "false"), EntryFault::kWrongType);
}

TEST_CASE("an entry with a state that is not named names no back end") {
  CheckPassedOver(Altered("state", "\"ready\""), EntryFault::kUnknownState);
  CheckPassedOver(Altered("state", "\"LIVE\""), EntryFault::kUnknownState);
}

TEST_CASE("an entry with an absurd number names no back end") {
  for (const char* slots : {"0", "-1", "2.5", "1e30", "18446744073709551615",
                            "99999999999999999999999"}) {
    CheckPassedOver(Altered("slots", slots), EntryFault::kBadNumber);
  }
}

TEST_CASE("an entry whose address nobody can dial names no back end") {
  for (const char* address :
       {"\"10.0.0.1\"", "\"10.0.0.1:0\"", "\"0.0.0.0:80\"",
        "\"example.org:80\"", "\"10.0.0.1:99999\"", "\"10.0.0.1:80/x\""}) {
    CheckPassedOver(Altered("address", address), EntryFault::kBadAddress);
  }
}

TEST_CASE("an entry that cannot be read leaves the others as they are") {
  for (const char* entry :
       {"7", "null", "\"text\"", "[]", "{\"id\": }", "{id}",
        "{\"id\": \"\xff\xfe\"}", "{\"id\": \"\\ud800\"}", "{\"id\": \"a\nb\"}",
        "{\"slots\": NaN}", "{\"slots\": 1e999}", ""}) {
    CheckPassedOver(entry, EntryFault::kUnreadable);
  }
}

TEST_CASE("the first of two entries with one id holds") {
  CheckPassedOver(Altered("address", "\"10.9.9.9:80\""),
                  EntryFault::kDuplicateId);
  const auto page = ReadWith(Altered("address", "\"10.9.9.9:80\""));
  CHECK(page.backends.at("i-1").address == "10.0.0.1:80");
}

TEST_CASE("an id that comes again on a later page is counted") {
  DiscoveryList list;
  EntryFaults faults;
  AddPage(*ParseDiscoveryPage(PageOf(kSound), kNow), list, faults);
  AddPage(*ParseDiscoveryPage(PageOf(kSound), kNow), list, faults);
  CHECK(list.size() == 1);
  CHECK(faults == EntryFaults{{EntryFault::kDuplicateId, 1}});
}

// The sound entry with a start.
std::string BornAt(const std::string& value) {
  std::string entry = kSound;
  entry.insert(entry.rfind('}'), R"(, "born": )" + value);
  return entry;
}

TEST_CASE("an entry says when its back end started") {
  const auto page =
      ParseDiscoveryPage(PageOf(BornAt(std::to_string(kNowMs - 5000))), kNow);
  REQUIRE(page);
  CHECK(page->backends.at("i-1").start == kNow - seconds(5));
  CHECK(page->faults.empty());
}

TEST_CASE("a start that cannot be is not known, and the back end is used") {
  for (const std::string& start :
       {std::string("\"1700000000000\""), std::string("1.5"), std::string("-1"),
        std::string("0"), std::string("true"), std::string("[]"),
        std::string("18446744073709551615"),
        std::to_string(kNowMs + 120'000)}) {
    CAPTURE(start);
    const auto page = ParseDiscoveryPage(PageOf(BornAt(start)), kNow);
    REQUIRE(page);
    REQUIRE(page->backends.contains("i-1"));
    CHECK(page->backends.at("i-1").start == WallTime{});
    CHECK(page->faults == EntryFaults{{EntryFault::kUnusableStart, 1}});
  }
  const auto page = ParseDiscoveryPage(PageOf(BornAt("null")), kNow);
  REQUIRE(page);
  CHECK(page->faults.empty());
}

TEST_CASE("a start is not forgotten and does not go back") {
  const WallTime unknown{};
  const WallTime earlier = kNow - seconds(9);
  CHECK(ReconcileStart(unknown, kNow) == kNow);
  CHECK(ReconcileStart(kNow, unknown) == kNow);
  CHECK(ReconcileStart(kNow, earlier) == kNow);
  CHECK(ReconcileStart(earlier, kNow) == kNow);
}

}  // namespace
}  // namespace juniperway::control

#include "common/control/discovery_page.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <tl/expected.hpp>
#include <utility>
#include <vector>

#include "common/net/address.h"

namespace juniperway::control {
namespace {

using nlohmann::json;

constexpr const char* kBackendsField = "backends";
constexpr const char* kNextPageField = "next_page";
// Far above the number of requests that any backend runs at a time.
constexpr std::uint64_t kMaximumSlots = 1'000'000;
// A start time further in the future than this is invalid. Clocks of machines
// differ by seconds.
constexpr Duration kClockTolerance = seconds(60);

// A page split into the texts of the list's elements and the JSON text around
// them (`frame`, in which the list is empty).
struct SplitPage {
  std::vector<std::string_view> elements;
  std::string frame;
};

// Splits a page into the elements of its list by quotes and brackets alone, so
// that elements that are not valid JSON can be told from the others. Does not
// own the text.
class PageSplitter {
 public:
  explicit PageSplitter(std::string_view text) : text_(text) {}

  // @return nothing if the text has no list, or the list does not end.
  std::optional<SplitPage> Split() {
    const std::size_t begin = FindListStart();
    if (begin == std::string_view::npos) {
      return std::nullopt;
    }
    SplitPage page;
    std::size_t element = begin;
    int depth = 0;
    bool quoted = false;
    for (std::size_t i = begin; i < text_.size(); ++i) {
      const char character = text_[i];
      if (quoted) {
        i += character == '\\' ? 1 : 0;
        quoted = character != '"';
      } else if (character == '"') {
        quoted = true;
      } else if (character == '{' || character == '[') {
        ++depth;
      } else if (depth > 0 && (character == '}' || character == ']')) {
        --depth;
      } else if (depth == 0 && (character == ',' || character == ']')) {
        page.elements.push_back(text_.substr(element, i - element));
        element = i + 1;
        if (character == ']') {
          page.frame = std::string(text_.substr(0, begin)) +
                       std::string(text_.substr(i));
          return page;
        }
      }
    }
    return std::nullopt;
  }

 private:
  // @return offset of the list's first element, or npos without a list.
  std::size_t FindListStart() const {
    const std::string name = std::string("\"") + kBackendsField + "\"";
    const std::size_t found = text_.find(name);
    if (found == std::string_view::npos) {
      return found;
    }
    const std::size_t colon =
        text_.find_first_not_of(" \t\r\n", found + name.size());
    if (colon == std::string_view::npos || text_[colon] != ':') {
      return std::string_view::npos;
    }
    const std::size_t open = text_.find_first_not_of(" \t\r\n", colon + 1);
    return open == std::string_view::npos || text_[open] != '['
               ? std::string_view::npos
               : open + 1;
  }

  std::string_view text_;
};

json ParseJson(std::string_view text) {
  return json::parse(text, nullptr, /*allow_exceptions=*/false);
}

// Parses a page. One malformed entry can make the whole page invalid JSON; the
// entries are then parsed one by one, and those that fail become null.
json ReadEntries(std::string_view text) {
  json document = ParseJson(text);
  if (!document.is_discarded()) {
    return document;
  }
  const auto split = PageSplitter(text).Split();
  if (!split) {
    return document;
  }
  document = ParseJson(split->frame);
  if (!document.is_object()) {
    return document;
  }
  json entries = json::array();
  for (const std::string_view element : split->elements) {
    json entry = ParseJson(element);
    entries.push_back(entry.is_discarded() ? json() : std::move(entry));
  }
  document[kBackendsField] = std::move(entries);
  return document;
}

using FieldResult = tl::expected<const json*, EntryFault>;

FieldResult FindField(const json& entry, const char* name) {
  const auto field = entry.find(name);
  if (field == entry.end() || field->is_null()) {
    return tl::unexpected(EntryFault::kMissingField);
  }
  return &*field;
}

tl::expected<std::string, EntryFault> ReadText(const json& entry,
                                               const char* name) {
  const FieldResult field = FindField(entry, name);
  if (!field) {
    return tl::unexpected(field.error());
  }
  if (!(*field)->is_string()) {
    return tl::unexpected(EntryFault::kWrongType);
  }
  std::string text = (*field)->get<std::string>();
  if (text.empty()) {
    return tl::unexpected(EntryFault::kMissingField);
  }
  return text;
}

tl::expected<std::uint32_t, EntryFault> ReadSlots(const json& entry) {
  const FieldResult field = FindField(entry, "slots");
  if (!field) {
    return tl::unexpected(field.error());
  }
  if (!(*field)->is_number()) {
    return tl::unexpected(EntryFault::kWrongType);
  }
  const bool fits = (*field)->is_number_unsigned() &&
                    (*field)->get<std::uint64_t>() >= 1 &&
                    (*field)->get<std::uint64_t>() <= kMaximumSlots;
  if (!fits) {
    return tl::unexpected(EntryFault::kBadNumber);
  }
  return (*field)->get<std::uint32_t>();
}

tl::expected<bool, EntryFault> ReadIsCold(const json& entry) {
  const FieldResult field = FindField(entry, "warmup_left_ms");
  if (!field) {
    return tl::unexpected(field.error());
  }
  if (!(*field)->is_number()) {
    return tl::unexpected(EntryFault::kWrongType);
  }
  return (*field)->get<double>() > 0;
}

tl::expected<bool, EntryFault> ReadIsLeaving(const json& entry) {
  const auto state = ReadText(entry, "state");
  if (!state) {
    return tl::unexpected(state.error());
  }
  if (*state != "live" && *state != "leaving") {
    return tl::unexpected(EntryFault::kUnknownState);
  }
  return *state == "leaving";
}

tl::expected<std::string, EntryFault> ReadAddress(const json& entry) {
  auto address = ReadText(entry, "address");
  if (address) {
    const auto endpoint = net::ParseEndpoint(*address, "");
    const bool usable = endpoint && endpoint->port() != 0 &&
                        !endpoint->address().is_unspecified();
    if (!usable) {
      return tl::unexpected(EntryFault::kBadAddress);
    }
  }
  return address;
}

// @return nothing if the entry's start time is invalid; the zero time if the
//   entry has none.
std::optional<WallTime> ReadStart(const json& entry, WallTime now) {
  const auto field = entry.find("born");
  if (field == entry.end() || field->is_null()) {
    return WallTime{};
  }
  // Unsigned like the JSON number, so that the comparison is also right for
  // numbers above the signed range.
  const auto latest = static_cast<std::uint64_t>(
      ToMilliseconds((now + kClockTolerance).time_since_epoch()));
  const bool fits = field->is_number_unsigned() &&
                    field->get<std::uint64_t>() > 0 &&
                    field->get<std::uint64_t>() <= latest;
  if (!fits) {
    return std::nullopt;
  }
  return WallTime(milliseconds(field->get<std::uint64_t>()));
}

using EntryResult = tl::expected<session::DiscoveredBackend, EntryFault>;

EntryResult ReadEntry(const json& entry) {
  if (!entry.is_object()) {
    return tl::unexpected(EntryFault::kUnreadable);
  }
  session::DiscoveredBackend backend;
  std::optional<EntryFault> fault;
  const auto store = [&fault](auto result, auto& target) {
    if (result) {
      target = std::move(*result);
    } else if (!fault) {
      fault = result.error();
    }
  };
  store(ReadText(entry, "id"), backend.id);
  store(ReadText(entry, "service"), backend.service);
  store(ReadText(entry, "zone"), backend.zone);
  store(ReadText(entry, "version"), backend.version);
  store(ReadAddress(entry), backend.address);
  store(ReadSlots(entry), backend.slots);
  store(ReadIsLeaving(entry), backend.draining);
  store(ReadIsCold(entry), backend.cold);
  if (fault) {
    return tl::unexpected(*fault);
  }
  return backend;
}

}  // namespace

const char* NameOf(EntryFault fault) {
  switch (fault) {
    case EntryFault::kUnreadable:
      return "unreadable";
    case EntryFault::kMissingField:
      return "missing_field";
    case EntryFault::kWrongType:
      return "wrong_type";
    case EntryFault::kUnknownState:
      return "unknown_state";
    case EntryFault::kBadAddress:
      return "bad_address";
    case EntryFault::kBadNumber:
      return "bad_number";
    case EntryFault::kDuplicateId:
      return "duplicate_id";
    case EntryFault::kInvalidStartTime:
      return "unusable_start";
  }
  return "unknown";
}

Result<DiscoveryPage> ParseDiscoveryPage(std::string_view text, WallTime now) {
  const json document = ReadEntries(text);
  if (!document.is_object() || !document.contains(kBackendsField) ||
      !document[kBackendsField].is_array()) {
    return MakeError(ErrorCode::kInvalidArgument, kBackendsField,
                     "must be a list");
  }
  DiscoveryPage page;
  const auto next = document.find(kNextPageField);
  if (next != document.end() && !next->is_null()) {
    if (!next->is_string()) {
      return MakeError(ErrorCode::kInvalidArgument, kNextPageField,
                       "must be a string or null");
    }
    page.next_page = next->get<std::string>();
  }
  for (const json& element : document[kBackendsField]) {
    EntryResult backend = ReadEntry(element);
    if (!backend) {
      ++page.faults[backend.error()];
      continue;
    }
    const auto start = ReadStart(element, now);
    backend->start = start.value_or(WallTime{});
    if (!start) {
      ++page.faults[EntryFault::kInvalidStartTime];
    }
    const std::string id = backend->id;
    if (!page.backends.emplace(id, std::move(*backend)).second) {
      ++page.faults[EntryFault::kDuplicateId];
    }
  }
  return page;
}

void MergeDiscoveryPage(DiscoveryPage page, DiscoveryList& list,
                        EntryFaults& faults) {
  for (const auto& [fault, entries] : page.faults) {
    faults[fault] += entries;
  }
  list.merge(page.backends);
  // merge() leaves behind the entries whose ids are already in the list.
  if (!page.backends.empty()) {
    faults[EntryFault::kDuplicateId] += page.backends.size();
  }
}

WallTime CombineStartTimes(WallTime known, WallTime listed) {
  return std::max(known, listed);
}

}  // namespace juniperway::control

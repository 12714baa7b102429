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

constexpr const char* kList = "backends";
constexpr const char* kNextPage = "next_page";
// More requests at a time than any machine works on.
constexpr std::uint64_t kMaximumSlots = 1'000'000;
// A start that lies further ahead is no time of a start. Clocks of machines
// differ by seconds.
constexpr Duration kClockTolerance = seconds(60);

// The elements of the page's list, as text, and the page without them.
struct CutPage {
  std::vector<std::string_view> elements;
  std::string frame;
};

// Finds the end of elements in a text, as far as quotes and brackets tell.
class Cutter {
 public:
  explicit Cutter(std::string_view text) : text_(text) {}

  std::optional<CutPage> Cut() {
    const std::size_t begin = FindList();
    if (begin == std::string_view::npos) {
      return std::nullopt;
    }
    CutPage page;
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
  // @return where the list's first element begins.
  std::size_t FindList() const {
    const std::string name = std::string("\"") + kList + "\"";
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

// A page that is no JSON as a whole may have one entry that is none: each is
// then read by itself, and those that cannot be read are null.
json ReadEntries(std::string_view text) {
  json document = ParseJson(text);
  if (!document.is_discarded()) {
    return document;
  }
  const auto cut = Cutter(text).Cut();
  if (!cut) {
    return document;
  }
  document = ParseJson(cut->frame);
  if (!document.is_object()) {
    return document;
  }
  json entries = json::array();
  for (const std::string_view element : cut->elements) {
    json entry = ParseJson(element);
    entries.push_back(entry.is_discarded() ? json() : std::move(entry));
  }
  document[kList] = std::move(entries);
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

tl::expected<bool, EntryFault> ReadCold(const json& entry) {
  const FieldResult field = FindField(entry, "warmup_left_ms");
  if (!field) {
    return tl::unexpected(field.error());
  }
  if (!(*field)->is_number()) {
    return tl::unexpected(EntryFault::kWrongType);
  }
  return (*field)->get<double>() > 0;
}

tl::expected<bool, EntryFault> ReadLeaving(const json& entry) {
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

// @return nothing when what the entry says is no time at which it can have
//   started. A start that is not given is the zero time.
std::optional<WallTime> ReadStart(const json& entry, WallTime now) {
  const auto field = entry.find("born");
  if (field == entry.end() || field->is_null()) {
    return WallTime{};
  }
  // As a signed number: comparisons with far larger ones stay right.
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
  const auto take = [&fault](auto result, auto& target) {
    if (result) {
      target = std::move(*result);
    } else if (!fault) {
      fault = result.error();
    }
  };
  take(ReadText(entry, "id"), backend.id);
  take(ReadText(entry, "service"), backend.service);
  take(ReadText(entry, "zone"), backend.zone);
  take(ReadText(entry, "version"), backend.version);
  take(ReadAddress(entry), backend.address);
  take(ReadSlots(entry), backend.slots);
  take(ReadLeaving(entry), backend.draining);
  take(ReadCold(entry), backend.cold);
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
    case EntryFault::kUnusableStart:
      return "unusable_start";
  }
  return "unknown";
}

Result<DiscoveryPage> ParseDiscoveryPage(std::string_view text, WallTime now) {
  const json document = ReadEntries(text);
  if (!document.is_object() || !document.contains(kList) ||
      !document[kList].is_array()) {
    return MakeError(ErrorCode::kInvalidArgument, kList, "must be a list");
  }
  DiscoveryPage page;
  const auto next = document.find(kNextPage);
  if (next != document.end() && !next->is_null()) {
    if (!next->is_string()) {
      return MakeError(ErrorCode::kInvalidArgument, kNextPage,
                       "must be a text or null");
    }
    page.next_page = next->get<std::string>();
  }
  for (const json& element : document[kList]) {
    EntryResult backend = ReadEntry(element);
    if (!backend) {
      ++page.faults[backend.error()];
      continue;
    }
    const auto start = ReadStart(element, now);
    backend->start = start.value_or(WallTime{});
    if (!start) {
      ++page.faults[EntryFault::kUnusableStart];
    }
    const std::string id = backend->id;
    if (!page.backends.emplace(id, std::move(*backend)).second) {
      ++page.faults[EntryFault::kDuplicateId];
    }
  }
  return page;
}

void AddPage(DiscoveryPage page, DiscoveryList& list, EntryFaults& faults) {
  for (const auto& [fault, entries] : page.faults) {
    faults[fault] += entries;
  }
  list.merge(page.backends);
  // What was not taken over was there already.
  if (!page.backends.empty()) {
    faults[EntryFault::kDuplicateId] += page.backends.size();
  }
}

WallTime ReconcileStart(WallTime held, WallTime listed) {
  return std::max(held, listed);
}

}  // namespace juniperway::control

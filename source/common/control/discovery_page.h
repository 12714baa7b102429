// Parses pages of the platform's discovery list. Programs other than the
// platform may write to the list too, so one entry may be malformed: the parser
// skips an entry with a missing or mistyped field and keeps the other entries
// of the page. Pure functions without state.
#pragma once

#include <array>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include "common/base/error.h"
#include "common/base/time.h"
#include "common/session/fleet_view.h"

namespace juniperway::control {

// Backends by id.
using DiscoveryList = std::map<std::string, session::DiscoveredBackend>;

// Reason for which the parser skips an entry or, for kInvalidStartTime, ignores
// one field of the entry.
enum class EntryFault {
  kUnreadable,        // Is not a JSON object.
  kMissingField,      // A field is missing, or empty.
  kWrongType,         // A field has the wrong type.
  kUnknownState,      // Is neither live nor leaving.
  kBadAddress,        // Is not a usable "ip:port".
  kBadNumber,         // A number is out of range.
  kDuplicateId,       // An earlier entry has the same id.
  kInvalidStartTime,  // The start time is invalid or in the future.
};
inline constexpr std::array kEntryFaults = {
    EntryFault::kUnreadable,  EntryFault::kMissingField,
    EntryFault::kWrongType,   EntryFault::kUnknownState,
    EntryFault::kBadAddress,  EntryFault::kBadNumber,
    EntryFault::kDuplicateId, EntryFault::kInvalidStartTime};
// Returns the fault's name in logs and metrics.
const char* NameOf(EntryFault fault);

// Number of entries with each fault.
using EntryFaults = std::map<EntryFault, std::size_t>;

// The result of parsing one page; owned by the caller.
struct DiscoveryPage {
  DiscoveryList backends;
  EntryFaults faults;
  // Token of the next page; empty on the last page.
  std::string next_page;
};

// Parses {"backends": [{"id", "service", "address", "zone", "version", "slots",
// "state": "live" | "leaving", "warmup_left_ms", "born"}], "next_page": "…" |
// null}. All fields except "born" are required. A backend is cold while its
// "warmup_left_ms" is above 0. "born" is the start time of the backend in Unix
// milliseconds.
// @return kInvalidArgument if the page as a whole cannot be parsed, for example
//   because it is truncated.
Result<DiscoveryPage> ParseDiscoveryPage(std::string_view text, WallTime now);

// Merges a page into the entries of the pages before it. The first of two
// entries with the same id is kept.
void MergeDiscoveryPage(DiscoveryPage page, DiscoveryList& list,
                        EntryFaults& faults);

// Combines the known start time of a backend with its start time in the latest
// list. Ignores a listed start time that is missing (zero) or earlier than the
// known one.
WallTime CombineStartTimes(WallTime known, WallTime listed);

}  // namespace juniperway::control

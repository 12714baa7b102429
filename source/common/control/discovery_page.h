// One page of the platform's discovery list. Other programs may write to the
// list too: an entry that does not have all fields, each of its type, names no
// back end to use, and the other entries of the page hold. Pure.
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

// Back ends by id.
using DiscoveryList = std::map<std::string, session::DiscoveredBackend>;

// Why an entry of the list is passed over or, of kUnusableStart, a field of it.
enum class EntryFault {
  kUnreadable,     // No JSON object.
  kMissingField,   // A field is missing, or empty.
  kWrongType,      // A field is of another type.
  kUnknownState,   // Neither live nor leaving.
  kBadAddress,     // Not "ip:port".
  kBadNumber,      // Out of any sensible range.
  kDuplicateId,    // An entry before it has the same id.
  kUnusableStart,  // When it started is no time, or one to come. It is taken.
};
inline constexpr std::array kEntryFaults = {
    EntryFault::kUnreadable,  EntryFault::kMissingField,
    EntryFault::kWrongType,   EntryFault::kUnknownState,
    EntryFault::kBadAddress,  EntryFault::kBadNumber,
    EntryFault::kDuplicateId, EntryFault::kUnusableStart};
const char* NameOf(EntryFault fault);

// How many entries had each fault.
using EntryFaults = std::map<EntryFault, std::size_t>;

struct DiscoveryPage {
  DiscoveryList backends;
  EntryFaults faults;
  // Names the page that follows; empty: this is the last.
  std::string next_page;
};

// Parses {"backends": [{"id", "service", "address", "zone", "version", "slots",
// "state": "live" | "leaving", "warmup_left_ms", "born"}], "next_page": "…" |
// null}. All fields but "born" are required. A back end with time left to warm
// up is cold. "born" is the Unix millisecond of its start.
// @return kInvalidArgument when the page as a whole cannot be read, for
//   example because it was cut short.
Result<DiscoveryPage> ParseDiscoveryPage(std::string_view text, WallTime now);

// Adds a page to what a reading has collected. Of two entries with the same id
// the first one holds.
void AddPage(DiscoveryPage page, DiscoveryList& list, EntryFaults& faults);

// When the back end started, from what is held and what the list says now: a
// start that is missing, or that lies before the one known, changes nothing.
WallTime ReconcileStart(WallTime held, WallTime listed);

}  // namespace juniperway::control

// What all commands that change something share: sending the change, saying
// what became of it, waiting until it is in force.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "ctl/command.h"

namespace juniperway::ctl {

// `--change-id` or a new one.
std::string ChangeIdFor(const CommandContext& context);

// Sends a change, prints its outcome and, with `--wait`, waits for it.
Outcome<void> CarryOutChange(CommandContext& context,
                             const ApiRequest& request);

// Prints the outcome of an accepted change and, with `--wait`, waits for it.
Outcome<void> FinishChange(CommandContext& context,
                           const nlohmann::json& answer);

// An apply of these resources as one change; a single one goes without
// "items", so that field paths in refusals start at the resource.
ApiRequest ApplyRequest(const nlohmann::json& items,
                        const std::string& change_id);

// Asks until the change is in force. @return its last state; kRefused when the
// change was refused, kUnavailable with what it waits for when time is up.
Outcome<nlohmann::json> AwaitInForce(ApiClient& api,
                                     const std::string& change_id);

// The change's state; kNotFound when it is not known.
Outcome<nlohmann::json> GetChange(ApiClient& api, const std::string& change_id);

// A change that the operator names by `--change-id` may have been made before;
// commands that read, change and write must then not read again.
// @return true when it was made; what became of it is printed (and, with
//   `--wait`, waited for).
Outcome<bool> FinishEarlierChange(CommandContext& context);

// The failure that a refused change stands for; kDone otherwise.
Outcome<void> CheckNotRefused(const nlohmann::json& change);

void PrintChange(CommandContext& context, const nlohmann::json& change);

}  // namespace juniperway::ctl

// Checks one answer against the dataset: one snapshot, true coverage, whole and
// own. Pure.
#pragma once

#include <set>
#include <string>

#include "common/resources/resource.h"
#include "lab/caller/history.h"
#include "lab/dataset.h"
#include "lab/promises/report.h"

namespace juniperway::lab {

// @param request_id the id of the attempt that was answered.
// @param published every index version that the service may answer from.
void CheckAnswer(const Dataset& dataset,
                 const std::set<resources::IndexVersion>& published,
                 const Query& query, const std::string& request_id,
                 const Answer& answer, PromiseReport& report);

}  // namespace juniperway::lab

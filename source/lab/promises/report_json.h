// The JSON form of a PromiseReport.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "lab/promises/report.h"

namespace juniperway::lab {

// {"one_snapshot":{"checked":n,"violations":0},…}
inline nlohmann::json PromisesToJson(const PromiseReport& report) {
  nlohmann::json json = nlohmann::json::object();
  for (const auto& [promise, count] : report.counts()) {
    json[std::string(PromiseName(promise))] = {
        {"checked", count.checked}, {"violations", count.violations}};
  }
  return json;
}

}  // namespace juniperway::lab

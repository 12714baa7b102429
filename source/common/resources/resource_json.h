// Resources to and from JSON, with validation that names field and reason.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string_view>
#include <vector>

#include "common/base/error.h"
#include "common/resources/resource.h"

namespace juniperway::resources {

// Parses "Service" etc.; nothing for an unknown word.
std::optional<Kind> ParseKind(std::string_view name);

// Parses one resource: {"kind":…, "name":…, "version":…, "spec":{…}}.
// Unknown fields are refused. Times are whole milliseconds ("…_ms").
// @return the resource, or kInvalidArgument with the path of the field.
Result<Resource> ParseResource(const nlohmann::json& json);

// Parses one resource or {"items":[…]}; field paths start with "items[i].".
Result<std::vector<Resource>> ParseResources(std::string_view text);

// The inverse of ParseResource; every field is written.
nlohmann::json ResourceToJson(const Resource& resource);

// Name rule of resources: 1–253 of [a-z0-9.-], first and last alphanumeric.
bool IsValidName(std::string_view name);

}  // namespace juniperway::resources

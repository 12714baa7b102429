// rapidcheck properties with a fixed seed inside doctest cases.
#pragma once

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cstdint>
#include <sstream>
#include <string>
#include <utility>

namespace juniperway::test {

// Checks `property` over `runs` generated inputs; the same ones each time.
template <typename Property>
void CheckProperty(const std::string& name, std::uint64_t seed, int runs,
                   Property&& property) {
  rc::detail::TestMetadata metadata;
  metadata.id = name;
  metadata.description = name;
  rc::detail::TestParams parameters;
  parameters.seed = seed;
  parameters.maxSuccess = runs;
  const auto result = rc::detail::checkTestable(
      std::forward<Property>(property), metadata, parameters);
  std::ostringstream text;
  rc::detail::printResultMessage(result, text);
  INFO(text.str());
  CHECK(result.template is<rc::detail::SuccessResult>());
}

}  // namespace juniperway::test

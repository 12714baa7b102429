#include "support/api_fixture.h"

#include "common/resources/resource_json.h"

namespace juniperway::test {

nlohmann::json ApiFixture::Resources() const {
  nlohmann::json all = nlohmann::json::array();
  for (const auto& [id, resource] : state.fleet().resources()) {
    all.push_back(resources::ResourceToJson(resource));
  }
  return all;
}

}  // namespace juniperway::test

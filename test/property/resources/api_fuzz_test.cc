// The resource API under input that is nearly right, wrong, or garbage: it
// answers, names the field, and writes all or nothing.
#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <set>
#include <string>

#include "common/net/address.h"
#include "common/resources/resource_json.h"
#include "property/resources/json_mutation.h"
#include "support/api_fixture.h"
#include "support/property.h"

namespace juniperway::test {
namespace {

using nlohmann::json;

constexpr std::uint64_t kSeed = 20260;
constexpr int kRuns = 4000;

control::ApiCall ApplyCall(const std::string& body, int number = 0) {
  return {"POST", "/v1/apply", {}, "change-" + std::to_string(number), body};
}

// "items[2].spec.slots" to "slots"; without the index of a list element.
std::string LeafOf(const std::string& field) {
  std::string leaf = field.substr(field.find_last_of('.') + 1);
  return leaf.substr(0, leaf.find('['));
}

// What a refusal must say, whatever was wrong.
void RequireNamedError(const net::HttpResponse& response) {
  const json body = json::parse(response.body, nullptr, false);
  RC_ASSERT(body.is_object());
  RC_ASSERT(body.contains("error"));
  RC_ASSERT(!body["error"].value("code", "").empty());
  RC_ASSERT(!body["error"].value("field", "").empty());
  RC_ASSERT(!body["error"].value("message", "").empty());
}

std::string FieldOf(const net::HttpResponse& response) {
  return json::parse(response.body)["error"]["field"];
}

// "/items/3/spec/slots" to "items[3]"; empty for places above the items.
std::string ItemOf(const std::string& place) {
  const std::string items = "/items/";
  if (!place.starts_with(items)) {
    return "";
  }
  return "items[" +
         place.substr(items.size(),
                      place.find('/', items.size()) - items.size()) +
         "]";
}

// The accepted body must be what is stored, each at the change's revision.
void RequireStored(const ApiFixture& fixture, const std::string& body) {
  const auto set = resources::ParseResources(body);
  RC_ASSERT(set.has_value());
  for (resources::Resource resource : *set) {
    const auto* stored = fixture.state.fleet().Find(resource.id);
    RC_ASSERT(stored != nullptr);
    RC_ASSERT(stored->version > 0U);
    resource.version = stored->version;
    RC_ASSERT(resources::ResourceToJson(*stored) ==
              resources::ResourceToJson(resource));
  }
}

}  // namespace

TEST_CASE("one thing wrong in a change refuses it whole and is named") {
  const json valid = ValidResources();
  int accepted = 0;
  int refused = 0;
  CheckProperty("one mutation", kSeed, kRuns, [&] {
    const Mutation mutation = Mutate(valid);
    const std::string body = mutation.value.dump();
    RC_LOG() << mutation.place << ": " << body;
    ApiFixture fixture;
    const net::HttpResponse response = fixture.Call(ApplyCall(body));
    if (response.status == 200) {
      ++accepted;
      RequireStored(fixture, body);
      return;
    }
    ++refused;
    RC_ASSERT(response.status == 400 || response.status == 409);
    RC_ASSERT(fixture.state.revision() == 0U);
    RC_ASSERT(fixture.Resources().empty());
    RequireNamedError(response);
    const std::string field = FieldOf(response);
    RC_LOG() << " refused: " << field;
    RC_ASSERT(IsKnownField(LeafOf(field)) || LeafOf(field) == "items");
    // A Service that is gone or renamed is missed by those who name it.
    const std::string item = ItemOf(mutation.place);
    if (!item.empty() && item != "items[0]") {
      RC_ASSERT(field.starts_with(item) || field.starts_with("items[4]") ||
                mutation.value["items"].size() < valid["items"].size());
    }
  });
  // The inputs are near enough to the limit between the two.
  CHECK(accepted > kRuns / 20);
  CHECK(refused > kRuns / 4);
}

TEST_CASE("a series of changes, many wrong, leaves what each promised") {
  CheckProperty("many mutations", kSeed + 1, kRuns / 10, [&] {
    ApiFixture fixture;
    RC_ASSERT(fixture.Call(ApplyCall(ValidResources().dump())).status == 200);
    for (int i = 1; i <= 10; ++i) {
      // From what is stored now, so that versions mostly fit.
      json body = {{"items", fixture.Resources()}};
      const int mutations = *rc::gen::inRange(0, 3);
      for (int k = 0; k < mutations; ++k) {
        body = Mutate(std::move(body)).value;
      }
      const std::string text = body.dump();
      RC_LOG() << text << '\n';
      const json before = fixture.Resources();
      const auto revision = fixture.state.revision();
      const net::HttpResponse response = fixture.Call(ApplyCall(text, i));
      if (response.status == 200) {
        RequireStored(fixture, text);
        RC_ASSERT(fixture.state.revision() > revision);
      } else {
        RequireNamedError(response);
        RC_ASSERT(fixture.Resources() == before);
        RC_ASSERT(fixture.state.revision() == revision);
      }
    }
    // The state can be stored and read again.
    RC_ASSERT(
        control::ControlState::DecodeSnapshot(fixture.state.EncodeSnapshot())
            .has_value());
  });
}

TEST_CASE("bodies with broken bytes are refused or stored as they read") {
  const std::string valid = ValidResources().dump();
  CheckProperty("broken bytes", kSeed + 2, kRuns, [&] {
    const std::string body = MutateText(valid);
    ApiFixture fixture;
    const net::HttpResponse response = fixture.Call(ApplyCall(body));
    if (response.status == 200) {
      RequireStored(fixture, body);
      return;
    }
    RC_ASSERT(response.status == 400 || response.status == 409);
    RC_ASSERT(fixture.Resources().empty());
    RequireNamedError(response);
  });
}

TEST_CASE("two back ends cannot share an endpoint by spelling it differently") {
  ApiFixture fixture;
  json body = ValidResources();
  json other = body["items"][1];
  other["name"] = "s-2.a";
  other["spec"]["address"] = "10.0.0.1:09000";
  body["items"].push_back(other);
  const net::HttpResponse response = fixture.Call(ApplyCall(body.dump()));
  CHECK(response.status == 400);
  CHECK(FieldOf(response) == "items[4].spec.address");
  CHECK(fixture.Resources().empty());
}

TEST_CASE("bodies of great depth or size are refused") {
  ApiFixture fixture;
  constexpr std::size_t kDepth = 500'000;
  const std::string deep = std::string(kDepth, '[') + std::string(kDepth, ']');
  std::string objects;
  for (std::size_t i = 0; i < kDepth; ++i) {
    objects += R"({"spec":)";
  }
  const std::string bodies[] = {
      deep, std::string(kDepth, '['), objects + "1" + std::string(kDepth, '}'),
      R"({"kind": "Service", "name": "s", "spec": )" + deep + "}"};
  for (const std::string& body : bodies) {
    const net::HttpResponse response = fixture.Call(ApplyCall(body));
    CHECK(response.status == 400);
    CHECK_FALSE(FieldOf(response).empty());
  }
  CHECK(fixture.Resources().empty());
}

TEST_CASE("every call is answered in JSON, whatever its parts hold") {
  const auto word = [] {
    return *rc::gen::oneOf(
        rc::gen::element<std::string>(
            "v1", "resources", "Service", "Backend", "Machine", "s", "g-1",
            "apply", "members", "changes", "status", "1", "0", "-1",
            "18446744073709551616", "change-0", "..", "%00"),
        rc::gen::container<std::string>(rc::gen::arbitrary<char>()));
  };
  std::set<int> statuses;
  CheckProperty("any call", kSeed + 3, kRuns, [&] {
    ApiFixture fixture;
    RC_ASSERT(fixture.Call(ApplyCall(ValidResources().dump())).status == 200);
    const json before = fixture.Resources();
    control::ApiCall call;
    call.method =
        *rc::gen::element<std::string>("GET", "POST", "DELETE", "PUT", "");
    call.path = *rc::gen::element<std::string>(
        "/v1/members", "/v1/status", "/v1/resources", "/v1", "", "/v1/apply");
    const int parts = *rc::gen::inRange(0, 3);
    for (int i = 0; i < parts; ++i) {
      call.path += "/" + word();
    }
    call.parameters = {
        {*rc::gen::element<std::string>("version", "local"), word()}};
    call.change_id = "other";
    call.body = *rc::gen::element<std::string>(
        "", "null", "[]", R"({"node_id": 4, "address": "127.0.0.1:1"})",
        R"({"node_id": -4, "address": "127.0.0.1:1"})",
        R"({"node_id": 0, "address": "127.0.0.1:1"})",
        R"({"node_id": 4, "address": "127.0.0.1:0"})",
        R"({"node_id": 4, "address": "here", "more": 1})", "\xff");
    RC_LOG() << call.method << ' ' << call.path << ' ' << call.body;
    const net::HttpResponse response = fixture.Call(call);
    statuses.insert(response.status);
    RC_ASSERT(response.status != 0);
    RC_ASSERT(json::parse(response.body, nullptr, false).is_object());
    if (response.status >= 300) {
      RequireNamedError(response);
      RC_ASSERT(fixture.Resources() == before);
      RC_ASSERT(fixture.added.empty() && fixture.removed.empty());
    }
    for (const raft::Member& member : fixture.added) {
      RC_ASSERT(member.id != raft::kNoNode);
      RC_ASSERT(net::ParseEndpoint(member.address, "")->port() != 0);
    }
    for (const raft::NodeId id : fixture.removed) {
      RC_ASSERT(id != raft::kNoNode);
    }
  });
  for (const int status : {200, 202, 400, 404}) {
    CAPTURE(status);
    CHECK(statuses.contains(status));
  }
}

}  // namespace juniperway::test

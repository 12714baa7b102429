#include "common/control/resource_api.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "common/base/compression.h"
#include "common/base/json_reader.h"
#include "common/control/events.h"
#include "common/net/address.h"
#include "common/resources/resource_json.h"
#include "common/routes/route_table.h"
#include "common/session/control_frames.h"
#include "common/session/fleet_codec.h"

namespace juniperway::control {
namespace {

using nlohmann::json;
using resources::Resource;

constexpr int kStatusOk = 200;
constexpr int kStatusAccepted = 202;
constexpr int kStatusUnavailable = 503;
// Bounds the names of lagging daemons in one answer; the counts in the answer
// include all daemons.
constexpr std::size_t kMaximumListedNames = 100;
constexpr const char* kRouteTablePath = "/v1/route-table";
constexpr const char* kEvacuationsPath = "/v1/evacuations";
constexpr const char* kCrashingRequestsPath = "/v1/crashing-requests";
constexpr const char* kRolloutsPath = "/v1/rollouts";

std::optional<std::uint64_t> ParseNumber(const std::string& text) {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  const bool is_number = parsed.ec == std::errc() && parsed.ptr == end;
  return is_number ? std::optional(number) : std::nullopt;
}

// Returns the number that an order is based on; nullopt if it names none.
Result<std::optional<OrderNumber>> ParseBasedOn(const ApiCall& call,
                                                OrderNumber latest) {
  const auto parameter = call.parameters.find(kBasedOnParameter);
  if (parameter == call.parameters.end()) {
    return std::nullopt;
  }
  const auto number = ParseNumber(parameter->second);
  if (!number || *number > latest) {
    return MakeError(ErrorCode::kInvalidArgument, kBasedOnParameter,
                     "must be a number that /v1/orders gave, at most " +
                         std::to_string(latest));
  }
  return number;
}

net::HttpResponse UnknownCallResponse() {
  return FailureResponse({ErrorCode::kNotFound, "path",
                          "names no call of the API with this method"});
}

// "/v1/evacuations/ZONE".
bool IsEvacuationPath(const std::vector<std::string>& parts) {
  return parts.size() == 3 && parts[1] == "evacuations";
}

// "/v1/crashing-requests/FINGERPRINT".
bool IsCrashingRequestPath(const std::vector<std::string>& parts) {
  return parts.size() == 3 && parts[1] == "crashing-requests";
}

json ListNames(const std::vector<std::string>& names) {
  const std::size_t count = std::min(names.size(), kMaximumListedNames);
  return json(std::vector<std::string>(
      names.begin(), names.begin() + static_cast<std::ptrdiff_t>(count)));
}

json MemberToJson(const raft::Progress& progress) {
  return {
      {"id", progress.member.id},        {"address", progress.member.address},
      {"voter", progress.voter},         {"active", progress.active},
      {"caught_up", progress.caught_up}, {"lost_data", progress.regressed},
      {"match", progress.match}};
}

// "/v1/rollouts/SERVICE".
bool IsRolloutPath(const std::vector<std::string>& parts) {
  return parts.size() == 3 && parts[1] == "rollouts";
}

}  // namespace

Error WithBodyField(Error error) {
  if (error.field.empty()) {
    error.field = "body";
  }
  return error;
}

std::vector<std::string> SplitPath(const std::string& path) {
  std::vector<std::string> parts;
  std::size_t begin = 0;
  while (begin < path.size()) {
    const std::size_t end = std::min(path.find('/', begin), path.size());
    if (end > begin) {
      parts.push_back(path.substr(begin, end - begin));
    }
    begin = end + 1;
  }
  return parts;
}

net::HttpResponse JsonResponse(int status, const json& body) {
  net::HttpResponse response;
  response.status = status;
  // Replaces invalid UTF-8: daemons choose their own names, in any encoding.
  response.body =
      body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
  return response;
}

std::uint64_t DigestOf(const ApiCall& call) {
  std::string content = call.method + " " + call.path + "\n";
  auto version = call.parameters.find("version");
  if (version != call.parameters.end()) {
    content += version->second;
  }
  content += "\n" + call.body;
  return XXH3_64bits(content.data(), content.size());
}

net::HttpResponse FailureResponse(const Error& error) {
  return net::ErrorResponse(net::HttpStatusOf(error.code), error, "not-run");
}

void ResourceApi::Handle(const ApiCall& call, const ApiCallback& answer) const {
  if (!ports_.is_leading()) {
    answer(net::ErrorResponse(
        kStatusUnavailable,
        {ErrorCode::kUnavailable, "", "this control node is not the leader"},
        "not-run"));
    return;
  }
  const auto parts = SplitPath(call.path);
  if (call.method == "GET") {
    answer(Read(call));
  } else if (call.method == "POST" && call.path == "/v1/apply") {
    Apply(call, answer);
  } else if (call.method == "POST" && call.path == kRouteTablePath) {
    PutRouteTable(call, answer);
  } else if (call.method == "PUT" && IsEvacuationPath(parts)) {
    SetEvacuation(call, parts[2], /*evacuated=*/true, answer);
  } else if (call.method == "DELETE" && IsEvacuationPath(parts)) {
    SetEvacuation(call, parts[2], /*evacuated=*/false, answer);
  } else if (call.method == "POST" && call.path == kRolloutsPath) {
    StartRollout(call, answer);
  } else if (call.method == "DELETE" && IsRolloutPath(parts)) {
    RemoveRollout(call, parts[2], answer);
  } else if (call.method == "DELETE" && IsCrashingRequestPath(parts)) {
    ReleaseRequest(call, parts[2], answer);
  } else if (call.method == "DELETE" && parts.size() == 4 &&
             parts[1] == "resources") {
    Delete(call, parts[2], parts[3], answer);
  } else if (call.method == "POST" && call.path == "/v1/members") {
    answer(AddMember(call));
  } else if (call.method == "DELETE" && parts.size() == 3 &&
             parts[1] == "members") {
    answer(RemoveMember(call, parts[2]));
  } else {
    answer(UnknownCallResponse());
  }
}

net::HttpResponse ResourceApi::ReadLocally(const ApiCall& call) const {
  return Read(call);
}

// --- Reads -------------------------------------------------------------------

net::HttpResponse ResourceApi::Read(const ApiCall& call) const {
  const auto parts = SplitPath(call.path);
  if (call.path == "/v1/status") {
    return GetStatus();
  }
  if (call.path == kRouteTablePath) {
    return GetRouteTable();
  }
  if (call.path == kEvacuationsPath) {
    return ListEvacuations();
  }
  if (call.path == kOrdersPath) {
    return GetOrders();
  }
  if (call.path == kCrashingRequestsPath) {
    return ListCrashingRequests();
  }
  if (call.path == kRolloutsPath) {
    return ListRollouts();
  }
  if (IsRolloutPath(parts)) {
    return GetRollout(parts[2]);
  }
  if (parts.size() == 3 && parts[1] == "resources") {
    return List(parts[2]);
  }
  if (parts.size() == 4 && parts[1] == "resources") {
    return Get(parts[2], parts[3]);
  }
  if (parts.size() == 3 && parts[1] == "changes") {
    return GetChange(parts[2]);
  }
  return UnknownCallResponse();
}

net::HttpResponse ResourceApi::List(const std::string& kind) const {
  const auto parsed = resources::ParseKind(kind);
  if (!parsed) {
    return FailureResponse(
        {ErrorCode::kNotFound, "kind", "there is no kind " + kind});
  }
  const ControlState& state = ports_.state();
  json items = json::array();
  const auto& all = state.fleet().resources();
  for (auto resource = all.lower_bound({*parsed, ""});
       resource != all.end() && resource->first.kind == *parsed; ++resource) {
    items.push_back(Describe(resource->second));
  }
  return JsonResponse(
      kStatusOk, {{"revision", state.revision()}, {"items", std::move(items)}});
}

net::HttpResponse ResourceApi::Get(const std::string& kind,
                                   const std::string& name) const {
  const auto parsed = resources::ParseKind(kind);
  const Resource* resource =
      parsed ? ports_.state().fleet().Find({*parsed, name}) : nullptr;
  if (resource == nullptr) {
    return FailureResponse(
        {ErrorCode::kNotFound, "name", "there is no " + kind + " " + name});
  }
  return JsonResponse(kStatusOk, Describe(*resource));
}

json ResourceApi::Describe(const Resource& resource) const {
  const FleetStore& fleet = ports_.state().fleet();
  const std::string& name = resource.id.name;
  json status = {{"in_force", ports_.leases().in_force() >= resource.version}};
  switch (resource.id.kind) {
    case resources::Kind::kService: {
      auto serving = fleet.serving.find(name);
      status["serving"] = serving == fleet.serving.end()
                              ? json(nullptr)
                              : json(serving->second);
      break;
    }
    case resources::Kind::kBackend: {
      auto report = fleet.reports.find(name);
      status["reported"] = report != fleet.reports.end();
      status["held_versions"] = report == fleet.reports.end()
                                    ? json::array()
                                    : json(report->second.held_versions);
      status["draining"] = fleet.IsDraining(name);
      status["platform_leaving"] = fleet.platform_leaving.contains(name);
      break;
    }
    case resources::Kind::kIndexSnapshot: {
      const auto& snapshot =
          std::get<resources::IndexSnapshot>(resource.specification);
      auto serving = fleet.serving.find(snapshot.service);
      status["serving"] = serving != fleet.serving.end() &&
                          serving->second == snapshot.index_version;
      break;
    }
    case resources::Kind::kMachine: {
      auto member = fleet.members.find(name);
      status["member"] = member != fleet.members.end();
      status["leaving"] =
          member != fleet.members.end() && fleet.IsLeaving(member->second);
      break;
    }
  }
  json described = resources::ResourceToJson(resource);
  described["status"] = std::move(status);
  return described;
}

net::HttpResponse ResourceApi::GetChange(const std::string& change_id) const {
  const auto* change = ports_.state().FindChange(change_id);
  if (change == nullptr) {
    return FailureResponse(
        {ErrorCode::kNotFound, "change_id", "is unknown or no longer kept"});
  }
  json body = {{"change_id", change_id}, {"revision", change->revision}};
  if (change->error) {
    const Error error = session::DecodeError(*change->error);
    body["state"] = "refused";
    body["error"] = {{"code", ErrorCodeName(error.code)},
                     {"field", error.field},
                     {"message", error.message}};
    return JsonResponse(kStatusOk, body);
  }
  const LeaseTable& leases = ports_.leases();
  const RevisionProgress progress = leases.ProgressOf(change->revision);
  body["state"] =
      leases.in_force() >= change->revision ? "in_force" : "accepted";
  body["daemons"] = progress.daemons;
  body["confirmed"] = progress.confirmed;
  body["waiting_for"] = ListNames(progress.waiting_for);
  body["without_lease"] = ListNames(progress.without_lease);
  return JsonResponse(kStatusOk, body);
}

net::HttpResponse ResourceApi::GetStatus() const {
  const raft::Status status = ports_.raft_status();
  const LeaseTable& leases = ports_.leases();
  json members = json::array();
  bool lost_data = false;
  // The raft progress covers the other members only, so the leader's own entry
  // is added here.
  for (const raft::Member& member : status.configuration.voters) {
    if (member.id == status.id) {
      members.push_back(MemberToJson({.member = member,
                                      .voter = true,
                                      .match = status.last,
                                      .active = true,
                                      .caught_up = true}));
    }
  }
  for (const raft::Progress& progress : status.progress) {
    members.push_back(MemberToJson(progress));
    lost_data = lost_data || progress.regressed;
  }
  // The group is repaired when it can lose another member without losing data
  // or quorum.
  const bool repaired = status.tolerated_losses >= 1 &&
                        status.configuration.learners.empty() && !lost_data;
  const RevisionProgress progress =
      leases.ProgressOf(ports_.state().revision());
  return JsonResponse(kStatusOk,
                      {{"members", std::move(members)},
                       {"voters", status.configuration.voters.size()},
                       {"tolerated_losses", status.tolerated_losses},
                       {"repaired", repaired},
                       {"revision", ports_.state().revision()},
                       {"in_force_revision", leases.in_force()},
                       {"daemons", progress.daemons},
                       {"without_lease", ListNames(progress.without_lease)},
                       {"claims", ports_.state().claims().size()}});
}

// --- Changes -----------------------------------------------------------------

void ResourceApi::Apply(const ApiCall& call, const ApiCallback& answer) const {
  auto set = resources::ParseResources(call.body);
  if (!set) {
    answer(FailureResponse(WithBodyField(set.error())));
    return;
  }
  protocol::ApplyResourcesT operation;
  operation.change_id = call.change_id;
  operation.digest = DigestOf(call);
  for (const Resource& resource : *set) {
    operation.resources.push_back(std::make_unique<protocol::ResourceRecordT>(
        session::EncodeResource(resource)));
  }
  Submit(session::MakeOperation(std::move(operation)), call, answer);
}

void ResourceApi::Delete(const ApiCall& call, const std::string& kind,
                         const std::string& name,
                         const ApiCallback& answer) const {
  const auto parsed = resources::ParseKind(kind);
  auto parameter = call.parameters.find("version");
  const auto version = parameter == call.parameters.end()
                           ? std::nullopt
                           : ParseNumber(parameter->second);
  if (!parsed) {
    answer(FailureResponse(
        {ErrorCode::kNotFound, "kind", "there is no kind " + kind}));
    return;
  }
  if (!version) {
    answer(FailureResponse({ErrorCode::kInvalidArgument, "version",
                            "must be the resource's version"}));
    return;
  }
  protocol::DeleteResourceT operation;
  operation.change_id = call.change_id;
  operation.digest = DigestOf(call);
  operation.key = std::make_unique<protocol::ResourceKeyT>(
      session::EncodeResourceId({*parsed, name}));
  operation.version = *version;
  Submit(session::MakeOperation(std::move(operation)), call, answer);
}

namespace {

// Makes the answer to a change from its result in the replicated state machine.
net::HttpResponse ChangeResponse(const std::string& change_id,
                                 const protocol::OperationResultT& result) {
  json items = json::array();
  for (const auto& record : result.resources) {
    if (auto resource = session::DecodeResource(*record)) {
      items.push_back(resources::ResourceToJson(*resource));
    }
  }
  if (!result.error) {
    return JsonResponse(kStatusOk, {{"change_id", change_id},
                                    {"revision", result.revision},
                                    {"state", "accepted"},
                                    {"resent", result.resent},
                                    {"items", std::move(items)}});
  }
  const Error error = session::DecodeError(*result.error);
  net::HttpResponse response = FailureResponse(error);
  if (error.code == ErrorCode::kConflict) {
    json body = json::parse(response.body);
    body["current"] = items.empty() ? json(nullptr) : items.front();
    body["change_id"] = change_id;
    return JsonResponse(response.status, body);
  }
  return response;
}

}  // namespace

void ResourceApi::Submit(protocol::OperationItemT operation,
                         const ApiCall& call, const ApiCallback& answer) const {
  const auto based_on = ParseBasedOn(call, ports_.state().orders().latest());
  if (!based_on) {
    answer(FailureResponse(based_on.error()));
    return;
  }
  if (*based_on) {
    operation.based_on = **based_on;
  }
  Operations operations;
  operations.push_back(
      std::make_unique<protocol::OperationItemT>(std::move(operation)));
  ports_.submit(std::move(operations), [answer, change_id = call.change_id](
                                           Result<OperationResults> results) {
    if (!results) {
      // The control node that forwarded the call sends it again, which the
      // change id makes safe.
      answer(net::ErrorResponse(kStatusUnavailable, results.error(),
                                "may-have-run"));
      return;
    }
    const protocol::OperationResultT& result = *results->front();
    if (result.error) {
      logging::LogEvent(
          kChangeRefused,
          {{"change", change_id},
           {"error", FormatError(session::DecodeError(*result.error))},
           {"resent", result.resent}});
    } else {
      logging::LogEvent(kChangeAccepted, {{"change", change_id},
                                          {"revision", result.revision},
                                          {"resent", result.resent}});
    }
    answer(ChangeResponse(change_id, result));
  });
}

// --- Route table -------------------------------------------------------------

net::HttpResponse ResourceApi::GetRouteTable() const {
  const StoredRouteTable& table = ports_.state().fleet().route_table;
  if (table.version == 0) {
    return FailureResponse(
        {ErrorCode::kNotFound, "", "no route table has been stored yet"});
  }
  auto text = Decompress(table.content);
  if (!text) {
    return FailureResponse(text.error());
  }
  net::HttpResponse response;
  response.body = std::move(*text);
  return response;
}

void ResourceApi::PutRouteTable(const ApiCall& call,
                                const ApiCallback& answer) const {
  const auto table = routes::ParseRouteTable(call.body);
  if (!table) {
    logging::LogEvent(
        kRouteTableRefused,
        {{"change", call.change_id}, {"error", FormatError(table.error())}});
    answer(FailureResponse(WithBodyField(table.error())));
    return;
  }
  protocol::PutRouteTableT operation;
  operation.route_table = std::make_unique<protocol::RouteTableRecordT>();
  operation.route_table->version = table->version;
  operation.route_table->content = Compress(call.body);
  Submit(session::MakeOperation(std::move(operation)), call, answer);
}

// --- Control nodes -----------------------------------------------------------

namespace {

Result<raft::Member> ParseMember(const std::string& text) {
  const Result<json> body = ParseJson(text);
  if (!body) {
    return tl::unexpected(WithBodyField(body.error()));
  }
  raft::Member member;
  JsonReader reader(*body, "");
  reader.Unsigned("node_id", &member.id, {raft::kNoNode + 1},
                  Presence::kRequired);
  reader.Text("address", &member.address, Presence::kRequired);
  if (const auto error = reader.Finish()) {
    return tl::unexpected(WithBodyField(*error));
  }
  const auto endpoint = net::ParseRemoteEndpoint(member.address, "address");
  if (!endpoint) {
    return tl::unexpected(endpoint.error());
  }
  return member;
}

}  // namespace

net::HttpResponse ResourceApi::AddMember(const ApiCall& call) const {
  const auto parsed = ParseMember(call.body);
  if (!parsed) {
    return FailureResponse(parsed.error());
  }
  if (auto unchanged = CheckMembersUnchanged(call); !unchanged) {
    return FailureResponse(unchanged.error());
  }
  const raft::Member& member = *parsed;
  if (auto added = ports_.add_member(member); !added) {
    return FailureResponse(added.error());
  }
  return JsonResponse(kStatusAccepted, {{"node_id", member.id},
                                        {"address", member.address},
                                        {"state", "catching_up"}});
}

net::HttpResponse ResourceApi::RemoveMember(const ApiCall& call,
                                            const std::string& id) const {
  const auto node = ParseNumber(id);
  if (!node || *node == raft::kNoNode) {
    return FailureResponse({ErrorCode::kInvalidArgument, "id",
                            "must be a node id, a whole number above 0"});
  }
  if (auto unchanged = CheckMembersUnchanged(call); !unchanged) {
    return FailureResponse(unchanged.error());
  }
  if (auto removed = ports_.remove_member(*node); !removed) {
    return FailureResponse(removed.error());
  }
  return JsonResponse(kStatusAccepted,
                      {{"node_id", *node}, {"state", "removing"}});
}

Result<void> ResourceApi::CheckMembersUnchanged(const ApiCall& call) const {
  const raft::Status status = ports_.raft_status();
  const auto based_on = ParseBasedOn(call, status.commit);
  if (!based_on) {
    return tl::unexpected(based_on.error());
  }
  if (*based_on && status.configuration_index > **based_on) {
    return MakeError(ErrorCode::kConflict, kBasedOnParameter,
                     "the change of members is based on log position " +
                         std::to_string(**based_on) +
                         ", and the members changed at " +
                         std::to_string(status.configuration_index));
  }
  return {};
}

}  // namespace juniperway::control

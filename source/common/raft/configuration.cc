#include "common/raft/configuration.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "common/raft/fsm.h"

namespace juniperway::raft {
namespace {

using nlohmann::json;

bool Contains(const std::vector<Member>& members, NodeId id) {
  return std::any_of(members.begin(), members.end(),
                     [id](const Member& member) { return member.id == id; });
}

json MembersToJson(const std::vector<Member>& members) {
  json list = json::array();
  for (const Member& member : members) {
    list.push_back({{"id", member.id}, {"address", member.address}});
  }
  return list;
}

// @return false if `list` isn't a list of members with new, valid ids.
bool MembersFromJson(const json& list, std::set<NodeId>& seen,
                     std::vector<Member>& members) {
  if (!list.is_array()) {
    return false;
  }
  for (const json& item : list) {
    if (!item.is_object() || !item.contains("id") ||
        !item.contains("address") || !item["id"].is_number_unsigned() ||
        !item["address"].is_string()) {
      return false;
    }
    Member member{item["id"].get<NodeId>(), item["address"].get<std::string>()};
    if (member.id == kNoNode || !seen.insert(member.id).second) {
      return false;
    }
    members.push_back(std::move(member));
  }
  return true;
}

}  // namespace

bool IsVoter(const Configuration& configuration, NodeId id) {
  return Contains(configuration.voters, id);
}

bool IsLearner(const Configuration& configuration, NodeId id) {
  return Contains(configuration.learners, id);
}

bool IsMember(const Configuration& configuration, NodeId id) {
  return IsVoter(configuration, id) || IsLearner(configuration, id);
}

std::vector<Member> AllMembers(const Configuration& configuration) {
  std::vector<Member> members = configuration.voters;
  members.insert(members.end(), configuration.learners.begin(),
                 configuration.learners.end());
  return members;
}

Configuration WithLearner(Configuration configuration, const Member& member) {
  configuration.learners.push_back(member);
  return configuration;
}

Configuration WithPromotion(Configuration configuration, NodeId id) {
  std::vector<Member>& learners = configuration.learners;
  const auto found =
      std::find_if(learners.begin(), learners.end(),
                   [id](const Member& member) { return member.id == id; });
  configuration.voters.push_back(*found);
  learners.erase(found);
  return configuration;
}

Configuration WithoutMember(Configuration configuration, NodeId id) {
  const auto is_it = [id](const Member& member) { return member.id == id; };
  std::erase_if(configuration.voters, is_it);
  std::erase_if(configuration.learners, is_it);
  return configuration;
}

Snapshot MakeFirstSnapshot(std::vector<Member> voters) {
  Snapshot snapshot;
  snapshot.configuration.voters = std::move(voters);
  std::ranges::sort(snapshot.configuration.voters);
  return snapshot;
}

ConfigurationHistory::ConfigurationHistory(Index index, Configuration base) {
  records_.push_back({index, std::move(base)});
}

const Configuration& ConfigurationHistory::At(Index index) const {
  for (auto record = records_.rbegin(); record != records_.rend(); ++record) {
    if (record->index <= index) {
      return record->configuration;
    }
  }
  return records_.front().configuration;
}

void ConfigurationHistory::Append(Index index, Configuration configuration) {
  records_.push_back({index, std::move(configuration)});
}

void ConfigurationHistory::TruncateFrom(Index first) {
  while (records_.size() > 1 && records_.back().index >= first) {
    records_.pop_back();
  }
}

void ConfigurationHistory::CompactTo(Index index) {
  while (records_.size() > 1 && records_[1].index <= index) {
    records_.pop_front();
  }
}

std::string EncodeConfiguration(const Configuration& configuration) {
  const json document = {{"voters", MembersToJson(configuration.voters)},
                         {"learners", MembersToJson(configuration.learners)}};
  return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<Configuration> DecodeConfiguration(std::string_view data) {
  const json document = json::parse(data, nullptr, /*allow_exceptions=*/false);
  Configuration configuration;
  std::set<NodeId> seen;
  const bool valid =
      document.is_object() && document.contains("voters") &&
      document.contains("learners") &&
      MembersFromJson(document["voters"], seen, configuration.voters) &&
      MembersFromJson(document["learners"], seen, configuration.learners);
  if (!valid) {
    return MakeError(ErrorCode::kCorrupt, "configuration",
                     "is not a list of voters and learners");
  }
  return configuration;
}

}  // namespace juniperway::raft

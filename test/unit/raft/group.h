// A group of state machines in one test: messages are delivered at once and in
// order, time moves by hand, and everything taken counts as synced.
#pragma once

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "common/raft/fsm.h"

namespace juniperway::raft {

inline Member MakeMember(NodeId id) {
  return Member{id, "127.0.0.1:" + std::to_string(7000 + id)};
}

inline Configuration MakeConfiguration(const std::vector<NodeId>& voters) {
  Configuration configuration;
  for (const NodeId id : voters) {
    configuration.voters.push_back(MakeMember(id));
  }
  return configuration;
}

class Group {
 public:
  struct Node {
    std::unique_ptr<Fsm> fsm;
    InitialState disk;
    std::vector<std::string> applied;
  };

  explicit Group(const std::vector<NodeId>& voters, const Options& options = {})
      : options_(options) {
    for (const NodeId id : voters) {
      nodes[id].disk.snapshot.configuration = MakeConfiguration(voters);
      Start(id);
    }
  }

  // Starts the node from its disk, also a new one with an empty disk.
  void Start(NodeId id) {
    Node& node = nodes[id];
    Options options = options_;
    options.id = id;
    options.seed = id;
    node.applied.clear();
    if (!node.disk.snapshot.data.empty()) {
      node.applied = {node.disk.snapshot.data};
    }
    node.fsm = std::make_unique<Fsm>(options, node.disk, now);
  }

  Fsm& operator[](NodeId id) { return *nodes.at(id).fsm; }

  // Does what the node's Ready asks; @return its messages.
  std::vector<Message> Drive(NodeId id) {
    Node& node = nodes.at(id);
    Ready ready = node.fsm->TakeReady();
    if (ready.hard_state) {
      node.disk.hard_state = *ready.hard_state;
    }
    Index synced = 0;
    if (ready.snapshot) {
      node.disk.snapshot = *ready.snapshot;
      node.disk.entries.clear();
      node.applied = {ready.snapshot->data};
      synced = ready.snapshot->index;
      node.fsm->Applied(synced);
    }
    for (const Entry& entry : ready.entries) {
      std::erase_if(node.disk.entries, [&](const Entry& held) {
        return held.index >= entry.index;
      });
      node.disk.entries.push_back(entry);
      synced = entry.index;
    }
    for (const Entry& entry : ready.committed) {
      if (entry.kind == EntryKind::kCommand) {
        node.applied.push_back(entry.data);
      }
      node.fsm->Applied(entry.index);
    }
    if (synced != 0) {
      node.fsm->Persisted(synced, now);
    }
    std::vector<Message> messages = std::move(ready.appends);
    std::move(ready.messages.begin(), ready.messages.end(),
              std::back_inserter(messages));
    return messages;
  }

  // Delivers until no node has anything to send.
  void Settle() {
    bool busy = true;
    while (busy) {
      busy = false;
      for (auto& [id, node] : nodes) {
        if (down.contains(id)) {
          continue;
        }
        for (const Message& message : Drive(id)) {
          busy = true;
          sent.push_back(message);
          Deliver(message);
        }
      }
    }
  }

  void Deliver(const Message& message) {
    const bool lost = down.contains(message.to) ||
                      down.contains(message.from) ||
                      cut.contains({message.from, message.to}) ||
                      !nodes.contains(message.to) || (drop && drop(message));
    if (!lost) {
      nodes.at(message.to).fsm->Step(message, now);
    }
  }

  // Moves time on in small steps, ticking and delivering.
  void Run(Duration duration) {
    const MonotonicTime end = now + duration;
    while (now < end) {
      now += milliseconds(10);
      for (auto& [id, node] : nodes) {
        if (!down.contains(id)) {
          node.fsm->Tick(now);
        }
      }
      Settle();
    }
  }

  // Runs until a single running node leads with a lease. @return its id.
  NodeId RunUntilLeader() {
    for (int step = 0; step < 1000; ++step) {
      Run(milliseconds(10));
      const NodeId leader = Leader();
      if (leader != kNoNode) {
        return leader;
      }
    }
    FAIL("no leader");
    return kNoNode;
  }

  // The running node that holds the lease, if any.
  NodeId Leader() {
    NodeId leader = kNoNode;
    for (auto& [id, node] : nodes) {
      if (!down.contains(id) && node.fsm->HasLeaderLease(now)) {
        CHECK(leader == kNoNode);
        leader = id;
      }
    }
    return leader;
  }

  // Two-way cut between a node and all others.
  void Isolate(NodeId id) {
    for (auto& [other, node] : nodes) {
      cut.insert({id, other});
      cut.insert({other, id});
    }
  }

  std::map<NodeId, Node> nodes;
  std::set<NodeId> down;
  std::set<std::pair<NodeId, NodeId>> cut;  // from, to
  std::vector<Message> sent;
  // Loses the messages for which it is true; empty: none.
  std::function<bool(const Message&)> drop;
  MonotonicTime now{seconds(1)};

 private:
  Options options_;
};

}  // namespace juniperway::raft

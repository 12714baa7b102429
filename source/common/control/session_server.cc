#include "common/control/session_server.h"

#include <algorithm>
#include <asio/post.hpp>
#include <utility>

#include "common/base/random_seed.h"
#include "common/control/events.h"
#include "common/session/control_frames.h"
#include "common/session/observation_codec.h"
#include "common/session/rate_codec.h"
#include "common/session/update_frame.h"

namespace juniperway::control {
namespace {

// If the leader leaves a heartbeat unanswered for this long, this node answers
// it with "no leader", so that the daemon knows that this node is alive and
// only the leader does not answer.
constexpr Duration kLeaderAnswerTimeout = milliseconds(600);
// This node closes a session on which no frame arrives for this long.
constexpr Duration kUnresponsiveSessionTimeout = seconds(15);

// Delay of the first update to a daemon that has no state yet and could connect
// to a nearer control node. It lasts ten one-way trips between regions and a
// connection set-up, in which the daemon connects to the nearer node. Without
// the delay, two of three daemons of a fleet in three regions would first load
// the whole state (1 MB with ten thousand backends) from another region.
constexpr Duration kNearerNodeDelay = milliseconds(500);
// One announcement carries all changes of the control nodes within this time.
// Without this delay, 24 control nodes that start at the same moment would
// cause 48 announcements of up to 2.4 KB to each of a thousand daemons, 60 MB
// in total.
constexpr Duration kAnnouncementDelay = milliseconds(200);

// Whether a daemon may submit operations of this type through its session.
bool IsDaemonOperation(protocol::Operation type) {
  return type == protocol::Operation::LeaveMember ||
         type == protocol::Operation::ClaimRequest ||
         type == protocol::Operation::RecordOutcome ||
         type == protocol::Operation::ReportBackends ||
         type == protocol::Operation::ReportCrash;
}

}  // namespace

SessionServer::SessionServer(asio::io_context& context, raft::NodeId node_id,
                             std::string cluster, UpdateTiming pace,
                             Ports ports)
    : context_(context),
      node_id_(node_id),
      cluster_(std::move(cluster)),
      pace_(pace),
      ports_(std::move(ports)),
      update_timer_(context),
      announcement_timer_(context),
      pool_(node_id, DrawRandomSeed()) {}

SessionServer::~SessionServer() { *alive_ = false; }

std::uint64_t SessionServer::Open(
    const std::shared_ptr<net::FrameConnection>& connection,
    const protocol::SessionHelloT& hello) {
  const bool valid = hello.cluster == cluster_ && hello.member &&
                     !hello.member->daemon_id.empty();
  if (!valid) {
    logging::LogEvent(kDaemonRefused,
                      {{"node", node_id_}, {"cluster", hello.cluster}});
    protocol::SessionRefusedT refused;
    refused.message = "this control node belongs to cluster " + cluster_;
    session::SendMessage(*connection, std::move(refused));
    return 0;
  }
  const std::string& daemon_id = hello.member->daemon_id;
  if (auto previous = sessions_by_daemon_.find(daemon_id);
      previous != sessions_by_daemon_.end()) {
    sessions_.at(previous->second).connection->Close();
    OnClosed(previous->second);
  }
  const std::uint64_t number = ++last_number_;
  Session& session = sessions_[number];
  session.connection = connection;
  session.member = *hello.member;
  session.sent_revision = hello.view_revision;
  session.minimum_revision = hello.minimum_revision;
  session.last_frame_time = ReadMonotonicClock();
  sessions_by_daemon_[daemon_id] = number;
  logging::LogEvent(kDaemonConnected, {{"node", node_id_},
                                       {"daemon", daemon_id},
                                       {"revision", hello.view_revision}});
  if (hello.view_revision == 0 && HasNearerControlNode(session)) {
    session.next_update = session.last_frame_time + kNearerNodeDelay;
  }
  SendControlMembers(session);
  OnStateChanged();
  return number;
}

bool SessionServer::HasNearerControlNode(const Session& session) const {
  const Place daemon{session.member.zone, session.member.region};
  const auto own = control_places_.find(node_id_);
  if (own == control_places_.end()) {
    return false;
  }
  const Locality here = LocalityBetween(own->second, daemon);
  return std::ranges::any_of(control_members_, [&](const raft::Member& member) {
    const auto place = control_places_.find(member.id);
    return place != control_places_.end() &&
           LocalityBetween(place->second, daemon) < here;
  });
}

void SessionServer::OnFrame(std::uint64_t number, net::FrameBytes bytes) {
  auto found = sessions_.find(number);
  if (found == sessions_.end()) {
    return;
  }
  Session& session = found->second;
  auto frame = session::DecodeFrame(bytes);
  if (!frame) {
    logging::LogEvent(kDaemonRefused, {{"node", node_id_},
                                       {"daemon", session.member.daemon_id},
                                       {"reason", "invalid frame"}});
    session.connection->Close();
    return;
  }
  session.last_frame_time = ReadMonotonicClock();
  if (const auto* heartbeat = frame->message.AsHeartbeat()) {
    OnHeartbeat(session, *heartbeat);
  } else if (const auto* observed = frame->message.AsBackendObservations()) {
    ports_.on_observations(session::DecodeObservations(*observed));
  } else if (const auto* call = frame->message.AsSessionCall()) {
    OnCall(number, session, *call);
  } else if (frame->message.AsSessionGoodbye() != nullptr) {
    OnGoodbye(session);
  }
}

void SessionServer::OnClosed(std::uint64_t number) {
  auto session = sessions_.find(number);
  if (session == sessions_.end()) {
    return;
  }
  const std::string daemon_id = session->second.member.daemon_id;
  sessions_.erase(session);
  auto by_daemon = sessions_by_daemon_.find(daemon_id);
  if (by_daemon != sessions_by_daemon_.end() && by_daemon->second == number) {
    sessions_by_daemon_.erase(by_daemon);
  }
  logging::LogEvent(kDaemonDisconnected,
                    {{"node", node_id_}, {"daemon", daemon_id}});
}

// --- Heartbeats --------------------------------------------------------------

void SessionServer::OnHeartbeat(Session& session,
                                const protocol::HeartbeatT& heartbeat) {
  session.confirmed_revision = heartbeat.confirmed_revision;
  if (IsUpdateDue(session)) {
    OnStateChanged();
  }
  if (session.unanswered_sequence == 0) {
    session.unanswered_sequence = heartbeat.sequence;
    session.unanswered_since = session.last_frame_time;
  }
  auto item = std::make_unique<protocol::MemberHeartbeatT>();
  item->daemon_id = session.member.daemon_id;
  item->incarnation = session.member.incarnation;
  item->heartbeat = std::make_unique<protocol::HeartbeatT>(heartbeat);
  GrantFromPool(session, *item->heartbeat);
  queued_heartbeats_.push_back(std::move(item));
  ScheduleFlush();
}

void SessionServer::GrantFromPool(const Session& session,
                                  protocol::HeartbeatT& heartbeat) {
  const auto grants = pool_.Serve(heartbeat, session.last_frame_time);
  if (grants.empty()) {
    return;
  }
  protocol::RateTokensT tokens;
  tokens.sequence = heartbeat.sequence;
  tokens.grants = session::EncodeRateGrants(grants);
  session::SendMessage(*session.connection, std::move(tokens));
}

void SessionServer::ScheduleFlush() {
  if (flush_scheduled_) {
    return;
  }
  flush_scheduled_ = true;
  asio::post(context_, [this, alive = alive_] {
    if (*alive) {
      flush_scheduled_ = false;
      FlushHeartbeats();
    }
  });
}

void SessionServer::FlushHeartbeats() {
  Heartbeats heartbeats = std::exchange(queued_heartbeats_, {});
  std::vector<std::pair<DaemonKey, std::uint64_t>> sequences;
  sequences.reserve(heartbeats.size());
  for (const auto& item : heartbeats) {
    sequences.push_back(
        {{item->daemon_id, item->incarnation}, item->heartbeat->sequence});
  }
  const MonotonicTime now = ReadMonotonicClock();
  if (pool_.IsReportDue(now)) {
    heartbeats.push_back(pool_.MakeReport(now));
  }
  if (stopped_ || heartbeats.empty() ||
      ports_.forward_heartbeats(std::move(heartbeats))) {
    return;
  }
  for (const auto& [key, sequence] : sequences) {
    if (Session* session =
            FindByDaemon(key.daemon_id, key.incarnation, nullptr)) {
      SendNoLeader(*session, sequence);
    }
  }
}

void SessionServer::OnReplies(const HeartbeatReplies& replies) {
  const MonotonicTime now = ReadMonotonicClock();
  for (const auto& item : replies) {
    if (item->reply && pool_.OnReply(*item, now)) {
      continue;
    }
    std::uint64_t number = 0;
    Session* session =
        FindByDaemon(item->daemon_id, item->incarnation, &number);
    if (session == nullptr || !item->reply) {
      continue;
    }
    if (item->reply->sequence >= session->unanswered_sequence) {
      session->unanswered_sequence = 0;
    }
    if (item->reply->outcome == protocol::HeartbeatOutcome::kNotMember) {
      Join(number, *session);
    }
    session::SendMessage(*session->connection, *item->reply);
  }
}

void SessionServer::SendNoLeader(Session& session, std::uint64_t sequence) {
  session.unanswered_sequence = 0;
  protocol::HeartbeatReplyT reply;
  reply.sequence = sequence;
  reply.outcome = protocol::HeartbeatOutcome::kNoLeader;
  session::SendMessage(*session.connection, reply);
}

void SessionServer::OnProgress(
    resources::Revision in_force,
    const std::map<std::string, resources::Revision>& zones) {
  std::map<std::string, flatbuffers::FlatBufferBuilder> frames;
  for (auto& [number, session] : sessions_) {
    auto frame = frames.find(session.member.zone);
    if (frame == frames.end()) {
      protocol::SessionProgressT progress;
      progress.in_force_revision = in_force;
      auto zone = zones.find(session.member.zone);
      progress.zone_released_revision = zone == zones.end() ? 0 : zone->second;
      frame =
          frames.emplace(session.member.zone, session::EncodeFrame(progress))
              .first;
    }
    session.connection->Send(frame->second);
  }
}

void SessionServer::SendObservations(
    const observation::BackendObservations& observations) {
  const auto frame =
      session::EncodeFrame(session::EncodeObservations(observations));
  for (const auto& [number, session] : sessions_) {
    if (session.member.router) {
      session.connection->Send(frame);
    }
  }
}

void SessionServer::SetControlMembers(
    const std::vector<raft::Member>& members) {
  control_members_ = members;
  ScheduleControlMembersAnnouncement();
}

void SessionServer::SetControlPlace(raft::NodeId node, const Place& place) {
  Place& known = control_places_[node];
  if (known != place) {
    known = place;
    ScheduleControlMembersAnnouncement();
  }
}

void SessionServer::ScheduleControlMembersAnnouncement() {
  if (std::exchange(announcement_scheduled_, true)) {
    return;
  }
  announcement_timer_.expires_after(kAnnouncementDelay);
  announcement_timer_.async_wait(
      [this, alive = alive_](const asio::error_code& error) {
        if (error || !*alive) {
          return;
        }
        announcement_scheduled_ = false;
        for (const auto& [number, session] : sessions_) {
          SendControlMembers(session);
        }
      });
}

void SessionServer::SendControlMembers(const Session& session) const {
  if (control_members_.empty()) {
    return;
  }
  protocol::ControlMembersT message;
  for (const raft::Member& member : control_members_) {
    message.addresses.push_back(member.address);
    const auto place = control_places_.find(member.id);
    if (place != control_places_.end()) {
      auto record = std::make_unique<protocol::ControlPlaceT>();
      record->address = member.address;
      record->zone = place->second.zone;
      record->region = place->second.region;
      message.places.push_back(std::move(record));
    }
  }
  session::SendMessage(*session.connection, std::move(message));
}

// --- Operations --------------------------------------------------------------

void SessionServer::Join(std::uint64_t number, Session& session) {
  if (session.join_in_flight || session.goodbye_received) {
    return;
  }
  session.join_in_flight = true;
  protocol::JoinMemberT join;
  join.member = std::make_unique<protocol::FleetMemberT>(session.member);
  Operations operations;
  operations.push_back(std::make_unique<protocol::OperationItemT>(
      session::MakeOperation(std::move(join))));
  ports_.submit(
      std::move(operations),
      [this, alive = alive_, number](const Result<OperationResults>& result) {
        if (!*alive) {
          return;
        }
        auto found = sessions_.find(number);
        if (found == sessions_.end()) {
          return;
        }
        found->second.join_in_flight = false;
        if (result && result->front()->error) {
          logging::LogEvent(kDaemonRefused,
                            {{"node", node_id_},
                             {"daemon", found->second.member.daemon_id},
                             {"reason", result->front()->error->message}});
        }
      });
}

void SessionServer::OnCall(std::uint64_t number, Session& session,
                           const protocol::SessionCallT& call) {
  Operations operations;
  for (const auto& item : call.operations) {
    if (!IsDaemonOperation(item->operation.type)) {
      session.connection->Close();
      return;
    }
    if (item->operation.type == protocol::Operation::LeaveMember) {
      session.member.leaving = true;  // also for a later join
    }
    operations.push_back(std::make_unique<protocol::OperationItemT>(*item));
  }
  ports_.submit(std::move(operations), [this, alive = alive_, number,
                                        call_id = call.call_id](
                                           Result<OperationResults> result) {
    if (!*alive) {
      return;
    }
    auto found = sessions_.find(number);
    if (found == sessions_.end()) {
      return;
    }
    protocol::SessionCallReplyT reply;
    reply.call_id = call_id;
    if (result) {
      reply.results = std::move(*result);
    } else {
      reply.error = session::EncodeError(result.error());
    }
    session::SendMessage(*found->second.connection, std::move(reply));
  });
}

void SessionServer::OnGoodbye(Session& session) {
  session.goodbye_received = true;
  ports_.forward_goodbye(KeyOf(session));
}

// --- Updates -----------------------------------------------------------------

void SessionServer::OnStateChanged() {
  if (!stopped_) {
    ArmUpdateTimer(pace_.delay);
  }
}

void SessionServer::ArmUpdateTimer(Duration delay) {
  const MonotonicTime due = ReadMonotonicClock() + delay;
  if (update_due_ && *update_due_ <= due) {
    return;
  }
  update_due_ = due;
  update_timer_.expires_after(delay);
  update_timer_.async_wait([this, alive = alive_](const asio::error_code& e) {
    if (!e && *alive) {
      update_due_.reset();
      SendUpdates(ReadMonotonicClock());
    }
  });
}

bool SessionServer::IsUpdateDue(const Session& session) const {
  const resources::Revision revision = ports_.state().revision();
  return session.sent_revision < revision &&
         session.confirmed_revision >= session.sent_revision &&
         session.minimum_revision <= revision;
}

void SessionServer::SendUpdates(MonotonicTime now) {
  const ControlState& state = ports_.state();
  // Earliest time at which a daemon that was updated recently may get another
  // update.
  std::optional<MonotonicTime> next;
  // One frame per revision, because most daemons have the same revision.
  std::map<resources::Revision, flatbuffers::FlatBufferBuilder> frames;
  for (auto& [number, session] : sessions_) {
    if (!IsUpdateDue(session)) {
      continue;
    }
    if (now < session.next_update) {
      next = std::min(next.value_or(session.next_update), session.next_update);
      continue;
    }
    session.next_update = now + pace_.interval;
    auto frame = frames.find(session.sent_revision);
    if (frame == frames.end()) {
      frame = frames
                  .emplace(session.sent_revision,
                           session::EncodeUpdateFrame(
                               state.UpdateSince(session.sent_revision)))
                  .first;
    }
    session.connection->Send(frame->second);
    session.sent_revision = state.revision();
  }
  if (next) {
    ArmUpdateTimer(*next - now);
  }
}

void SessionServer::Tick(MonotonicTime now) {
  if (pool_.IsReportDue(now)) {
    ScheduleFlush();
  }
  std::vector<std::uint64_t> unresponsive;
  for (auto& [number, session] : sessions_) {
    if (session.unanswered_sequence != 0 &&
        now - session.unanswered_since > kLeaderAnswerTimeout) {
      SendNoLeader(session, session.unanswered_sequence);
    }
    if (now - session.last_frame_time > kUnresponsiveSessionTimeout) {
      unresponsive.push_back(number);
    }
  }
  for (const std::uint64_t number : unresponsive) {
    sessions_.at(number).connection->Close();
    OnClosed(number);
  }
}

void SessionServer::Stop() {
  stopped_ = true;
  update_timer_.cancel();
  announcement_timer_.cancel();
  for (auto& [number, session] : sessions_) {
    session.connection->Close();
  }
  sessions_.clear();
  sessions_by_daemon_.clear();
}

SessionServer::Session* SessionServer::FindByDaemon(
    const std::string& daemon_id, std::uint64_t incarnation,
    std::uint64_t* number) {
  auto by_daemon = sessions_by_daemon_.find(daemon_id);
  if (by_daemon == sessions_by_daemon_.end()) {
    return nullptr;
  }
  Session& session = sessions_.at(by_daemon->second);
  if (session.member.incarnation != incarnation) {
    return nullptr;
  }
  if (number != nullptr) {
    *number = by_daemon->second;
  }
  return &session;
}

DaemonKey SessionServer::KeyOf(const Session& session) const {
  return {session.member.daemon_id, session.member.incarnation};
}

}  // namespace juniperway::control

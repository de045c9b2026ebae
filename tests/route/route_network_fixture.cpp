// Simulated network and backend servers for the tests of routing.
#include "route/route_fixture.h"

#include <algorithm>

namespace camphorfield {

namespace {

constexpr Duration kHop = microseconds(200);
constexpr Duration kConnect = milliseconds(1);

using NetKey = std::pair<std::size_t, std::uint64_t>;

void
After(RouteWorld& aWorld, Duration aDelay, std::function<void()> aAction)
{
  aWorld.events_.emplace(aWorld.now_ + aDelay, std::move(aAction));
}

void
EndConnection(RouteWorld& aWorld,
              const NetKey& aKey,
              ConnectionEnd aReason,
              bool aNotify)
{
  const auto found = aWorld.network_.find(aKey);
  if (found == aWorld.network_.end()) {
    return;
  }
  const FakeConnection connection = found->second;
  aWorld.network_.erase(found);
  if (connection.open_) {
    --aWorld.servers_[connection.address_].connections_;
  }
  if (!aNotify) {
    return;
  }
  Deliver(aWorld,
          aKey.first,
          ConnectionEnded{ { aKey.second },
                           aReason,
                           connection.open_,
                           { connection.request_ },
                           connection.request_ != 0 });
}

void
ResetConnections(RouteWorld& aWorld, const std::string& aAddress)
{
  std::vector<NetKey> keys;
  for (const auto& [key, connection] : aWorld.network_) {
    if (connection.address_ == aAddress && connection.open_) {
      keys.push_back(key);
    }
  }
  for (const NetKey& key : keys) {
    After(aWorld, kHop, [&aWorld, key] {
      EndConnection(aWorld, key, ConnectionEnd::Reset, true);
    });
  }
}

void
Connect(RouteWorld& aWorld, std::size_t aDaemon, const OpenConnection& aOpen)
{
  const NetKey key{ aDaemon, aOpen.id_.value_ };
  aWorld.network_[key] = { aDaemon, aOpen.address_, false, false, 0 };
  After(aWorld, kConnect, [&aWorld, key] {
    const auto found = aWorld.network_.find(key);
    if (found == aWorld.network_.end()) {
      return;
    }
    FakeServer& server = aWorld.servers_[found->second.address_];
    if (!server.up_) {
      EndConnection(aWorld, key, ConnectionEnd::Refused, true);
      return;
    }
    if (server.connections_ >= server.cap_) {
      ++server.overCap_;
      EndConnection(aWorld, key, ConnectionEnd::OverCap, true);
      return;
    }
    found->second.open_ = true;
    ++server.connections_;
    server.peakConnections_ =
      std::max(server.peakConnections_, server.connections_);
    Deliver(aWorld, key.first, ConnectionOpened{ { key.second } });
  });
}

SubAnswer
MakeReply(const FakeServer& aServer, const SubRequest& aRequest)
{
  SubAnswer answer;
  answer.id_ = aRequest.id_;
  answer.connection_ = aRequest.connection_;
  answer.statedId_ = aRequest.id_;
  answer.statedShard_ = aRequest.shard_;
  answer.statedVersion_ = aRequest.version_;
  answer.draining_ = aServer.draining_;
  answer.load_ = aServer.load_;
  answer.body_ = std::make_shared<const std::string>(
    aServer.name_ + ":" + std::to_string(aRequest.version_.value_));
  return answer;
}

void
Reply(RouteWorld& aWorld, const NetKey& aKey, const SubAnswer& aAnswer)
{
  After(aWorld, kHop, [&aWorld, aKey, aAnswer] {
    const auto found = aWorld.network_.find(aKey);
    if (found == aWorld.network_.end() || found->second.silent_) {
      return;
    }
    found->second.request_ = 0;
    Deliver(aWorld, aKey.first, aAnswer);
  });
}

SubStatus
ImmediateStatus(const FakeServer& aServer, const SubRequest& aRequest)
{
  if (aServer.draining_ || aServer.refuses_) {
    return SubStatus::Refused;
  }
  if (aRequest.kind_ == SubKind::Query &&
      !aServer.versions_.contains(aRequest.version_.value_)) {
    return SubStatus::WrongVersion;
  }
  return aServer.fails_ ? SubStatus::Failed : SubStatus::Ok;
}

void
ReleaseServerSlot(RouteWorld& aWorld, const std::string& aAddress)
{
  FakeServer& server = aWorld.servers_[aAddress];
  --server.running_;
  if (!server.waiting_.empty()) {
    const std::function<void()> next = std::move(server.waiting_.front());
    server.waiting_.pop_front();
    next();
  }
}

void
RunRequest(RouteWorld& aWorld, const NetKey& aKey, const SubRequest& aRequest)
{
  const std::string address = aWorld.network_[aKey].address_;
  FakeServer& server = aWorld.servers_[address];
  ++server.running_;
  const std::uint64_t incarnation = server.incarnation_;
  const double random = static_cast<double>(aWorld.rng_() >> 11U) * 0x1.0p-53;
  const auto work = Duration(
    static_cast<std::int64_t>(static_cast<double>(server.work_.count()) *
                              (1.0 + server.jitter_ * random)));
  const bool expired = aWorld.now_ >= aRequest.deadline_;
  const SubStatus verdict =
    expired || server.fails_ ? SubStatus::Failed : SubStatus::Ok;
  if (aRequest.kind_ == SubKind::Order && !expired) {
    ++aWorld.orderRuns_[*aRequest.body_];
  }
  const bool poison = !server.poison_.empty() && aRequest.body_ != nullptr &&
                      aRequest.body_->find(server.poison_) != std::string::npos;
  After(aWorld,
        expired ? Duration(1) : work,
        [&aWorld, aKey, aRequest, address, incarnation, poison, verdict] {
          FakeServer& self = aWorld.servers_[address];
          if (self.incarnation_ != incarnation) {
            return;
          }
          if (poison) {
            CrashServer(aWorld, self);
            return;
          }
          SubAnswer answer = MakeReply(self, aRequest);
          answer.status_ = verdict;
          if (self.mislabels_) {
            answer.statedVersion_ = { aRequest.version_.value_ + 1 };
          }
          if (!self.mislabelShard_.empty()) {
            answer.statedShard_ = self.mislabelShard_;
          }
          Reply(aWorld, aKey, answer);
          ReleaseServerSlot(aWorld, address);
        });
}

void
Arrive(RouteWorld& aWorld, const NetKey& aKey, const SubRequest& aRequest)
{
  const auto found = aWorld.network_.find(aKey);
  if (found == aWorld.network_.end() || found->second.silent_) {
    return;
  }
  FakeServer& server = aWorld.servers_[found->second.address_];
  if (aRequest.kind_ == SubKind::Health || aRequest.kind_ == SubKind::Cancel) {
    server.cancels_ += aRequest.kind_ == SubKind::Cancel ? 1 : 0;
    SubAnswer answer = MakeReply(server, aRequest);
    if (server.reportsVersions_ && aRequest.kind_ == SubKind::Health) {
      for (const std::uint64_t version : server.versions_) {
        answer.versions_.push_back({ version });
      }
    }
    Reply(aWorld, aKey, answer);
    return;
  }
  ++(aRequest.kind_ == SubKind::Query ? server.queries_ : server.orders_);
  const SubStatus verdict = ImmediateStatus(server, aRequest);
  if (verdict != SubStatus::Ok && verdict != SubStatus::Failed) {
    SubAnswer answer = MakeReply(server, aRequest);
    answer.status_ = verdict;
    Reply(aWorld, aKey, answer);
    return;
  }
  if (server.running_ < server.slots_) {
    RunRequest(aWorld, aKey, aRequest);
    return;
  }
  const std::uint64_t incarnation = server.incarnation_;
  server.waiting_.push_back([&aWorld, aKey, aRequest, incarnation] {
    const auto still = aWorld.network_.find(aKey);
    const bool gone =
      still == aWorld.network_.end() ||
      aWorld.servers_[still->second.address_].incarnation_ != incarnation;
    if (!gone) {
      RunRequest(aWorld, aKey, aRequest);
    }
  });
}

void
Send(RouteWorld& aWorld, std::size_t aDaemon, const SubRequest& aRequest)
{
  const NetKey key{ aDaemon, aRequest.connection_.value_ };
  const auto found = aWorld.network_.find(key);
  if (found == aWorld.network_.end()) {
    return;
  }
  found->second.request_ = aRequest.id_.value_;
  const bool work =
    aRequest.kind_ == SubKind::Query || aRequest.kind_ == SubKind::Order;
  if (work && aWorld.keepSent_) {
    aWorld.sent_.push_back(aRequest);
  }
  After(
    aWorld, kHop, [&aWorld, key, aRequest] { Arrive(aWorld, key, aRequest); });
}

void
SpreadRumorToPeers(RouteWorld& aWorld, std::size_t aFrom, const Rumor& aRumor)
{
  aWorld.rumors_.push_back(aRumor);
  for (std::size_t i = 0; i < aWorld.daemons_.size(); ++i) {
    if (i != aFrom) {
      After(aWorld, aWorld.gossipDelay_, [&aWorld, i, aRumor] {
        Deliver(aWorld, i, RumorReceived{ aRumor });
      });
    }
  }
}

std::size_t
FindDaemon(const RouteWorld& aWorld, DaemonId aId)
{
  for (std::size_t i = 0; i < aWorld.daemons_.size(); ++i) {
    if (aWorld.daemons_[i]->state_.settings_.self_ == aId) {
      return i;
    }
  }
  return aWorld.daemons_.size();
}

void
SendToPeer(RouteWorld& aWorld, std::size_t aFrom, const SendPeer& aSend)
{
  const std::size_t to = FindDaemon(aWorld, aSend.to_);
  if (aWorld.pausedPeers_.contains(to)) {
    return;
  }
  PeerMessage message;
  message.from_ = aWorld.daemons_[aFrom]->state_.settings_.self_;
  message.body_ = aSend.body_;
  const bool lost = to >= aWorld.daemons_.size() ||
                    aWorld.cutPeers_.contains(to) || !aWorld.daemons_[to]->up_;
  After(aWorld, kHop, [&aWorld, aFrom, to, lost, message, aSend] {
    if (lost) {
      Deliver(aWorld,
              aFrom,
              PeerUnreachable{ aSend.to_, aSend.address_, aSend.call_ });
    } else {
      Deliver(aWorld, to, message);
    }
  });
}

} // namespace

void
StopServer(RouteWorld& aWorld, FakeServer& aServer)
{
  aServer.up_ = false;
  ++aServer.incarnation_;
  aServer.running_ = 0;
  aServer.waiting_.clear();
  ResetConnections(aWorld, aServer.address_);
}

void
CrashServer(RouteWorld& aWorld, FakeServer& aServer)
{
  ++aServer.crashes_;
  StopServer(aWorld, aServer);
  const std::string address = aServer.address_;
  After(aWorld, aServer.restart_, [&aWorld, address] {
    aWorld.servers_[address].up_ = true;
  });
}

void
ApplyDecisions(RouteWorld& aWorld, std::size_t aDaemon, Decisions& aDecisions)
{
  for (Decision& decision : aDecisions) {
    if (auto* answer = std::get_if<QueryAnswer>(&decision)) {
      const std::uint64_t id = answer->id_.value_;
      ++aWorld.answerCounts_[id];
      aWorld.answers_[id] = { std::move(*answer),
                              aWorld.now_ - aWorld.startedAt_[id] };
    } else if (const auto* open = std::get_if<OpenConnection>(&decision)) {
      Connect(aWorld, aDaemon, *open);
    } else if (const auto* close = std::get_if<CloseConnection>(&decision)) {
      const NetKey key{ aDaemon, close->id_.value_ };
      After(aWorld, kHop, [&aWorld, key] {
        EndConnection(aWorld, key, ConnectionEnd::ClosedLocally, true);
      });
    } else if (const auto* sub = std::get_if<SubRequest>(&decision)) {
      Send(aWorld, aDaemon, *sub);
    } else if (const auto* done = std::get_if<OrderDispatched>(&decision)) {
      aWorld.dispatched_[done->id_.value_] = *done;
      ++aWorld.dispatchCounts_[done->id_.value_];
    } else if (const auto* rumor = std::get_if<SpreadRumor>(&decision)) {
      SpreadRumorToPeers(aWorld, aDaemon, rumor->rumor_);
    } else if (const auto* peer = std::get_if<SendPeer>(&decision)) {
      SendToPeer(aWorld, aDaemon, *peer);
    }
  }
}

} // namespace camphorfield

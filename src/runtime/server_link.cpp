// Connections of a daemon to backend servers, one fiber each. Reports how every
// connection and exchange ended, and whether a request was sent before a
// failure.
#include "runtime/server_link.h"

#include "runtime/clock.h"
#include "runtime/http_client.h"

#include <boost/fiber/buffered_channel.hpp>
#include <unordered_map>
#include <utility>

namespace camphorfield {

namespace {

constexpr std::size_t kCommandCapacity = 16;

enum class CommandKind : std::uint8_t
{
  Send,     ///< Send request_.
  Readable, ///< The idle connection received bytes or was closed.
  Close     ///< End the connection.
};

/** Command to a connection's fiber. */
struct Command
{
  CommandKind kind_ = CommandKind::Close;
  SubRequest request_;          ///< Send only.
  std::uint64_t exchanges_ = 0; ///< Readable only: exchanges_ of the link.
};

/** One connection. Used only on one worker's thread. */
struct ServerLink
{
  ServerLink(OpenConnection aOpen, boost::asio::io_context& aContext)
    : open_(std::move(aOpen))
    , client_(aContext)
    , commands_(kCommandCapacity)
  {
  }

  OpenConnection open_;
  HttpClient client_;
  boost::fibers::buffered_channel<Command> commands_;
  std::uint64_t exchanges_ = 0; ///< Completed exchanges.
  bool busy_ = true;            ///< Connecting or in an exchange.
};

using LinkMap = std::unordered_map<ConnectionId, std::shared_ptr<ServerLink>>;

ConnectionEnd
ToConnectionEnd(HttpEnd aEnd)
{
  switch (aEnd) {
    case HttpEnd::Refused:
      return ConnectionEnd::Refused;
    case HttpEnd::Closed:
      return ConnectionEnd::Closed;
    case HttpEnd::TimedOut:
      return ConnectionEnd::TimedOut;
    case HttpEnd::Aborted:
      return ConnectionEnd::ClosedLocally;
    default:
      return ConnectionEnd::Reset;
  }
}

bool
IsOverCap(const HttpExchange& aExchange)
{
  return FindField(aExchange.response_.fields_, "X-Over-Cap") == "1";
}

} // namespace

/** Shared state. Each map of links_ is used only on its worker's thread. */
struct ServerLinksState
{
  ServerLinksState(WorkerPool& aPool, EventSink aSink, std::string aIdPrefix)
    : pool_(aPool)
    , sink_(std::move(aSink))
    , idPrefix_(std::move(aIdPrefix))
    , links_(aPool.Size())
  {
  }

  WorkerPool& pool_;
  EventSink sink_;
  std::string idPrefix_;
  std::vector<LinkMap> links_;
};

namespace {

void
ReportEnd(ServerLinksState& aState,
          const ServerLink& aLink,
          ConnectionEnd aReason,
          bool aWasOpen)
{
  ConnectionEnded ended;
  ended.id_ = aLink.open_.id_;
  ended.reason_ = aReason;
  ended.wasOpen_ = aWasOpen;
  aState.sink_(ended);
}

/** Whether a connection stays usable after a command. */
enum class ServeResult : std::uint8_t
{
  Continue, ///< The connection can be used again.
  Ended     ///< Its end has been reported.
};

ServeResult
ReportExchange(ServerLinksState& aState,
               const ServerLink& aLink,
               const SubRequest& aRequest,
               const HttpExchange& aExchange)
{
  const bool answered =
    aExchange.response_.status_ != 0 &&
    (aExchange.end_ == HttpEnd::Ok || aExchange.end_ == HttpEnd::Truncated);
  if (answered) {
    aState.sink_(DecodeSubAnswer(aRequest,
                                 aState.idPrefix_,
                                 aExchange.response_,
                                 aExchange.end_ == HttpEnd::Truncated));
    if (IsOverCap(aExchange)) {
      ReportEnd(aState, aLink, ConnectionEnd::OverCap, true);
      return ServeResult::Ended;
    }
    if (aExchange.end_ == HttpEnd::Ok && !aExchange.response_.close_) {
      return ServeResult::Continue;
    }
    ReportEnd(aState, aLink, ConnectionEnd::Closed, true);
    return ServeResult::Ended;
  }
  ConnectionEnded ended;
  ended.id_ = aLink.open_.id_;
  // A close in the middle of an exchange counts as a reset.
  ended.reason_ = aExchange.end_ == HttpEnd::Closed
                    ? ConnectionEnd::Reset
                    : ToConnectionEnd(aExchange.end_);
  ended.wasOpen_ = true;
  ended.request_ = aRequest.id_;
  ended.requestSent_ = aExchange.sent_;
  aState.sink_(ended);
  return ServeResult::Ended;
}

ServeResult
ServeRequest(ServerLinksState& aState,
             ServerLink& aLink,
             const SubRequest& aRequest)
{
  // The process may have been paused since the core decided to send.
  const TimePoint now = ReadClock().mono_;
  if (now >= aRequest.deadline_) {
    aState.sink_(SubNotSent{ aRequest.id_, aLink.open_.id_ });
    return ServeResult::Continue;
  }
  aLink.busy_ = true;
  const HttpExchange exchange = aLink.client_.Exchange(
    EncodeSubRequest(aRequest, aState.idPrefix_, now), Duration::zero());
  aLink.busy_ = false;
  ++aLink.exchanges_;
  return ReportExchange(aState, aLink, aRequest, exchange);
}

ServeResult
HandleReadable(ServerLinksState& aState, ServerLink& aLink)
{
  const HttpExchange unsolicited = aLink.client_.ReadUnsolicited();
  ConnectionEnd reason = ToConnectionEnd(unsolicited.end_);
  if (unsolicited.end_ == HttpEnd::Ok ||
      unsolicited.end_ == HttpEnd::Truncated) {
    reason =
      IsOverCap(unsolicited) ? ConnectionEnd::OverCap : ConnectionEnd::Reset;
  }
  ReportEnd(aState, aLink, reason, true);
  return ServeResult::Ended;
}

ServeResult
ServeCommand(ServerLinksState& aState, ServerLink& aLink, Command& aCommand)
{
  switch (aCommand.kind_) {
    case CommandKind::Send:
      return ServeRequest(aState, aLink, aCommand.request_);
    case CommandKind::Readable:
      // Stale when an exchange has read the bytes in between.
      if (aCommand.exchanges_ != aLink.exchanges_) {
        return ServeResult::Continue;
      }
      return HandleReadable(aState, aLink);
    default:
      ReportEnd(aState, aLink, ConnectionEnd::ClosedLocally, true);
      return ServeResult::Ended;
  }
}

/** Reports requests that were still queued when the connection ended. */
void
ReportUnsent(ServerLinksState& aState, ServerLink& aLink)
{
  Command command;
  while (aLink.commands_.try_pop(command) ==
         boost::fibers::channel_op_status::success) {
    if (command.kind_ == CommandKind::Send) {
      aState.sink_(SubNotSent{ command.request_.id_, aLink.open_.id_ });
    }
  }
}

void
ServeLink(ServerLinksState& aState, const std::shared_ptr<ServerLink>& aLink)
{
  aState.sink_(ConnectionOpened{ aLink->open_.id_ });
  ServeResult result = ServeResult::Continue;
  while (result == ServeResult::Continue) {
    std::weak_ptr<ServerLink> weak = aLink;
    aLink->client_.WatchIdle([weak]() {
      const std::shared_ptr<ServerLink> link = weak.lock();
      if (link != nullptr) {
        Command readable;
        readable.kind_ = CommandKind::Readable;
        readable.exchanges_ = link->exchanges_;
        link->commands_.try_push(readable);
      }
    });
    Command command = aLink->commands_.value_pop();
    aLink->client_.EndIdleWatch();
    result = ServeCommand(aState, *aLink, command);
  }
}

void
RunLink(const std::shared_ptr<ServerLinksState>& aState,
        const std::shared_ptr<ServerLink>& aLink)
{
  const HttpEnd end =
    aLink->client_.Connect(aLink->open_.address_, aLink->open_.timeout_);
  aLink->busy_ = false;
  if (end == HttpEnd::Ok) {
    ServeLink(*aState, aLink);
  } else {
    ReportEnd(*aState, *aLink, ToConnectionEnd(end), false);
  }
  aState->links_[aLink->open_.id_.value_ % aState->links_.size()].erase(
    aLink->open_.id_);
  ReportUnsent(*aState, *aLink);
}

std::shared_ptr<ServerLink>
FindLink(ServerLinksState& aState, ConnectionId aId)
{
  LinkMap& links = aState.links_[aId.value_ % aState.links_.size()];
  const auto found = links.find(aId);
  return found == links.end() ? nullptr : found->second;
}

void
CloseLink(ServerLinksState& aState, ConnectionId aId)
{
  const std::shared_ptr<ServerLink> link = FindLink(aState, aId);
  if (link == nullptr) {
    return;
  }
  if (link->busy_) {
    link->client_.Abort();
    return;
  }
  link->commands_.try_push(Command{});
}

} // namespace

ServerLinks::ServerLinks(WorkerPool& aPool,
                         EventSink aSink,
                         std::string aIdPrefix)
  : state_(std::make_shared<ServerLinksState>(aPool,
                                              std::move(aSink),
                                              std::move(aIdPrefix)))
{
}

void
ServerLinks::Open(const OpenConnection& aOpen)
{
  Worker& worker = state_->pool_.At(aOpen.id_.value_);
  worker.Spawn([state = state_, open = aOpen]() {
    const std::uint64_t index = open.id_.value_ % state->links_.size();
    auto link =
      std::make_shared<ServerLink>(open, state->pool_.At(index).Context());
    state->links_[index].emplace(open.id_, link);
    RunLink(state, link);
  });
}

void
ServerLinks::Close(const CloseConnection& aClose)
{
  // Runs in a new fiber, so that it starts after the fiber of a preceding Open.
  state_->pool_.At(aClose.id_.value_)
    .Spawn([state = state_, id = aClose.id_]() { CloseLink(*state, id); });
}

void
ServerLinks::Send(const SubRequest& aRequest)
{
  state_->pool_.At(aRequest.connection_.value_)
    .Post([state = state_, request = aRequest]() {
      const std::shared_ptr<ServerLink> link =
        FindLink(*state, request.connection_);
      Command command;
      command.kind_ = CommandKind::Send;
      command.request_ = request;
      if (link == nullptr || link->commands_.try_push(std::move(command)) !=
                               boost::fibers::channel_op_status::success) {
        state->sink_(SubNotSent{ request.id_, request.connection_ });
      }
    });
}

} // namespace camphorfield

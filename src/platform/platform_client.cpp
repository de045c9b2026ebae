// Runs platform calls on the workers over kept connections. A call that cannot
// connect or gets no response ends with PlatformStatus::Unreachable.
#include "platform/platform_client.h"

#include "runtime/http_client.h"

#include <utility>

namespace camphorfield {

namespace {

constexpr std::size_t kIdleConnections = 4;

using ClientList = std::vector<std::unique_ptr<HttpClient>>;

} // namespace

/** Idle connections by worker; only the worker's thread uses its list. */
struct PlatformClientState
{
  PlatformClientState(WorkerPool& aPool, EventSink aSink, std::string aAddress)
    : pool_(aPool)
    , sink_(std::move(aSink))
    , address_(std::move(aAddress))
    , idle_(aPool.Size())
  {
  }

  WorkerPool& pool_;
  EventSink sink_;
  std::string address_;
  std::vector<ClientList> idle_;
};

namespace {

std::unique_ptr<HttpClient>
TakeClient(PlatformClientState& aState,
           std::uint64_t aWorker,
           Duration aTimeout)
{
  ClientList& idle = aState.idle_[aWorker];
  while (!idle.empty()) {
    std::unique_ptr<HttpClient> client = std::move(idle.back());
    idle.pop_back();
    if (!client->IsStale()) {
      return client;
    }
  }
  auto client =
    std::make_unique<HttpClient>(aState.pool_.At(aWorker).Context());
  if (client->Connect(aState.address_, aTimeout) != HttpEnd::Ok) {
    return nullptr;
  }
  return client;
}

PlatformReply
UnreachableReply(const PlatformCall& aCall)
{
  HttpResponse noResponse;
  noResponse.status_ = 0;
  return DecodePlatformReply(aCall, noResponse);
}

PlatformReply
RunCall(PlatformClientState& aState,
        const PlatformCall& aCall,
        std::uint64_t aWorker)
{
  std::unique_ptr<HttpClient> client =
    TakeClient(aState, aWorker, aCall.timeout_);
  if (client == nullptr) {
    return UnreachableReply(aCall);
  }
  const HttpExchange exchange =
    client->Exchange(EncodePlatformCall(aCall), aCall.timeout_);
  if (exchange.end_ != HttpEnd::Ok) {
    return UnreachableReply(aCall);
  }
  ClientList& idle = aState.idle_[aWorker];
  if (!exchange.response_.close_ && idle.size() < kIdleConnections) {
    idle.push_back(std::move(client));
  }
  return DecodePlatformReply(aCall, exchange.response_);
}

} // namespace

PlatformClient::PlatformClient(WorkerPool& aPool,
                               EventSink aSink,
                               std::string aAddress)
  : state_(std::make_shared<PlatformClientState>(aPool,
                                                 std::move(aSink),
                                                 std::move(aAddress)))
{
}

void
PlatformClient::Call(const PlatformCall& aCall)
{
  const std::uint64_t worker = aCall.id_.value_ % state_->pool_.Size();
  state_->pool_.At(worker).Spawn([state = state_, call = aCall, worker]() {
    state->sink_(RunCall(*state, call, worker));
  });
}

} // namespace camphorfield

/** Connections of a gateway to backend servers, driven by callbacks. */
#pragma once

#include "gateway/gateway_type.h"
#include "runtime/gateway_codec.h"
#include "runtime/memory_account.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <unordered_map>

namespace camphorfield {

/** Callbacks of connections; never called from within a BackendLinks call. */
struct BackendSink
{
  std::function<void(const BackendOpened&)> opened_;
  std::function<void(BackendAnswer&&)> answered_;
  std::function<void(const BackendClosed&)> closed_;
  std::function<void(const UnreadAnswer&)> unread_;
};

/**
 * Connections by their id. All calls and callbacks are on the event loop's
 * thread. A query goes to dozens of servers at once; callbacks instead of
 * fibers keep the cost at one write for a request and one read for its answer.
 */
class BackendLinks
{
public:
  BackendLinks(boost::asio::io_context& aContext,
               const GatewayCodec& aCodec,
               BackendSink aSink,
               MemoryAccount* aAccount = nullptr);
  ~BackendLinks();
  BackendLinks(const BackendLinks&) = delete;
  BackendLinks& operator=(const BackendLinks&) = delete;

  void Connect(const BackendConnect& aConnect);
  void Send(const BackendSend& aSend);
  /** Ends sending; reads for a moment longer if an answer is awaited. */
  void Disconnect(const BackendDisconnect& aDisconnect);

private:
  friend class BackendLink;
  void Close(std::uint64_t aId, BackendEnd aEnd, bool aAnswerBegun);

  boost::asio::io_context& context_;
  const GatewayCodec& codec_;
  BackendSink sink_;
  MemoryAccount* account_;    ///< Of answers and of requests not yet written.
  std::size_t lingering_ = 0; ///< Connections that only read.
  std::unordered_map<std::uint64_t, std::shared_ptr<class BackendLink>> links_;
};

} // namespace camphorfield

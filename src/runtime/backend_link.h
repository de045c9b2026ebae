/** Connections to backend servers without a fiber for each request. */
#pragma once

#include "gateway/gateway_type.h"
#include "runtime/gateway_codec.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <unordered_map>

namespace camphorfield {

/** Where connections tell what happened; never called from within a call. */
struct BackendSink
{
  std::function<void(const BackendOpened&)> opened_;
  std::function<void(BackendAnswer&&)> answered_;
  std::function<void(const BackendClosed&)> closed_;
};

/**
 * Connections by their id. All calls and callbacks are on the thread of the
 * event loop. A query asks dozens of servers at once, so a request costs one
 * write and its answer one read and no switch of fibers.
 */
class BackendLinks
{
public:
  BackendLinks(boost::asio::io_context& aContext,
               const GatewayCodec& aCodec,
               BackendSink aSink);
  ~BackendLinks();
  BackendLinks(const BackendLinks&) = delete;
  BackendLinks& operator=(const BackendLinks&) = delete;

  void Connect(const BackendConnect& aConnect);
  void Send(const BackendSend& aSend);
  void Disconnect(const BackendDisconnect& aDisconnect);

private:
  friend class BackendLink;
  void Close(std::uint64_t aId, BackendEnd aEnd, bool aAnswerBegun);

  boost::asio::io_context& context_;
  const GatewayCodec& codec_;
  BackendSink sink_;
  std::unordered_map<std::uint64_t, std::shared_ptr<class BackendLink>> links_;
};

} // namespace camphorfield

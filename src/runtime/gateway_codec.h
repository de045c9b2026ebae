/** How requests and answers look on the wires that the gateway speaks. */
#pragma once

#include "gateway/gateway_type.h"
#include "runtime/http_type.h"

#include <string>

namespace camphorfield {

/** Functions of the adapter to the callers' and servers' protocol. */
struct GatewayCodec
{
  /** A caller's request as it is forwarded; id_ and caller_ are left empty. */
  ProxyRequest (*decodeRequest_)(HttpRequest&& aRequest);
  /** Answer to a caller. */
  HttpResponse (*encodeAnswer_)(ProxyAnswer&& aAnswer);
  /** Bytes of a request to a server. */
  std::string (*encodeSend_)(const BackendSend& aSend);
  /** Answer of a server; connection_ is left empty. */
  BackendAnswer (*decodeAnswer_)(HttpResponse&& aResponse);
};

} // namespace camphorfield

/** Conversion of a gateway's requests and answers to and from HTTP. */
#pragma once

#include "gateway/gateway_type.h"
#include "runtime/http_type.h"

#include <string>

namespace camphorfield {

/** Conversions for the protocols of callers and backend servers. */
struct GatewayCodec
{
  /** Decodes a caller's request; id_ and caller_ are left empty. */
  ProxyRequest (*decodeRequest_)(HttpRequest&& aRequest);
  /** Encodes the answer to a caller. */
  HttpResponse (*encodeAnswer_)(ProxyAnswer&& aAnswer);
  /** Encodes a request to a backend server. */
  std::string (*encodeSend_)(const BackendSend& aSend);
  /** Decodes a backend server's answer; connection_ is left empty. */
  BackendAnswer (*decodeAnswer_)(HttpResponse&& aResponse);
};

} // namespace camphorfield

/** HTTP messages of the stand-ins, independent of Beast. */
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace camphorfield::standin {

using Millis = std::chrono::milliseconds;
using HttpHeaders = std::map<std::string, std::string>; ///< Lower-case names.

/** Request with its target split and percent-decoded. */
struct HttpRequest
{
  std::string method_ = "GET";               ///< Upper case.
  std::string path_;                         ///< Decoded path.
  std::map<std::string, std::string> query_; ///< Decoded parameters.
  HttpHeaders headers_;                      ///< Header fields.
  std::string body_;                         ///< Whole body.
};

/** How an answer is sent; all but Whole and Close are faults. */
enum class ReplyDelivery : std::uint8_t
{
  Whole,     ///< Sent as it is.
  Close,     ///< Sent, then the connection is closed.
  Truncated, ///< Half of the body is sent, then the connection is closed.
  Twice,     ///< Sent twice, as by a server that mixes up answers.
  Lost       ///< The connection is closed without sending anything.
};

/** Answer. */
struct HttpReply
{
  unsigned status_ = 200; ///< HTTP status.
  HttpHeaders headers_;   ///< Header fields besides Content-Length.
  std::string body_;      ///< Whole body.
  ReplyDelivery replyDelivery_ = ReplyDelivery::Whole;
};

using HttpRespond = std::function<void(HttpReply)>; ///< Called at most once.

/**
 * Header field of a request or a reply.
 * @param aName Name in lower case.
 * @return Its value; empty when absent.
 */
std::string
FindHeader(const HttpHeaders& aHeaders, const std::string& aName);

/**
 * Undo percent-encoding.
 * @param aText Encoded text; a broken escape is kept as it is.
 */
std::string
PercentDecode(const std::string& aText);

/**
 * Percent-encode all but letters, digits and "-._~/".
 */
std::string
PercentEncode(const std::string& aText);

/**
 * Split a request target into path and query.
 * @param aTarget Path with query, as on the wire.
 * @param aRequest Gets path_ and query_.
 */
void
SplitTarget(const std::string& aTarget, HttpRequest& aRequest);

/** Bytes of a reply as on the wire. */
std::string
EncodeReply(const HttpReply& aReply);

/** Bytes of a request as on the wire; path_ and query_ are encoded. */
std::string
EncodeRequest(const HttpRequest& aRequest);

} // namespace camphorfield::standin

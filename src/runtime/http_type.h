/** HTTP requests and responses, independent of Boost.Beast. */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace camphorfield {

/** Methods that handlers distinguish. */
enum class HttpMethod : std::uint8_t
{
  Get,
  Post,
  Put,
  Delete,
  Other,
  End ///< Number of methods.
};

/** One header field. */
struct HttpField
{
  std::string name_;
  std::string value_;
};

/** Request, received or to be sent. */
struct HttpRequest
{
  HttpMethod method_ = HttpMethod::Get;
  std::string methodText_;        ///< As received; not used when sending.
  std::string target_ = "/";      ///< Path with query string.
  std::vector<HttpField> fields_; ///< Header fields.
  std::string body_;
};

/** Response, received or to be sent. */
struct HttpResponse
{
  std::uint32_t status_ = 200;
  std::vector<HttpField> fields_; ///< Header fields.
  std::string body_;
  bool close_ = false; ///< The connection closes after this response.
};

/** Path and parameters of a target. */
struct HttpTarget
{
  std::string path_;              ///< Decoded path.
  std::vector<HttpField> params_; ///< Decoded query string.
};

/**
 * Value of a field.
 * @param aFields Fields of a request or response, or parameters.
 * @param aName Name, in any case of letters.
 * @return The value; empty when there is none.
 */
std::string_view
FindField(const std::vector<HttpField>& aFields, std::string_view aName);

/** Splits and decodes a target; a malformed escape stays as it is. */
HttpTarget
ParseTarget(std::string_view aTarget);

/** Percent-encodes one path segment or parameter. */
std::string
EncodeSegment(std::string_view aText);

/** Unsigned number in a field; aDefault when it is absent or malformed. */
std::uint64_t
FieldNumber(const std::vector<HttpField>& aFields,
            std::string_view aName,
            std::uint64_t aDefault);

} // namespace camphorfield

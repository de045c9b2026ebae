/** Reading of JSON fields into members. */
#pragma once

#include "standin/http_type.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value_to.hpp>
#include <exception>
#include <string>

namespace camphorfield::standin {

/**
 * Parse a JSON object.
 * @return False when the text is anything else.
 */
inline bool
ParseObject(const std::string& aText, boost::json::object& aOut)
{
  boost::system::error_code error;
  const boost::json::value value = boost::json::parse(aText, error);
  if (error || !value.is_object()) {
    return false;
  }
  aOut = value.get_object();
  return true;
}

/** Set a member if the field is present; throws for a wrong type. */
template<typename T>
void
ReadField(const boost::json::object& aObject, const char* aName, T& aMember)
{
  if (const boost::json::value* field = aObject.if_contains(aName)) {
    aMember = boost::json::value_to<T>(*field);
  }
}

/** ReadField for a time in milliseconds. */
inline void
ReadField(const boost::json::object& aObject,
          const char* aName,
          Millis& aMember)
{
  if (const boost::json::value* field = aObject.if_contains(aName)) {
    aMember = Millis(boost::json::value_to<std::int64_t>(*field));
  }
}

/**
 * Run a function that reads JSON fields.
 * @return Its reply; 400 if it throws, as for a field of a wrong type.
 */
inline HttpReply
ReplyOrBadRequest(const std::function<HttpReply()>& aCall)
{
  try {
    return aCall();
  } catch (const std::exception& error) {
    return { 400, {}, error.what() };
  }
}

} // namespace camphorfield::standin

/** JSON form of objects, sets and changes; see docs/CONFIG.md. */
#pragma once

#include "object/change_type.h"
#include "object/fault_type.h"

#include <absl/status/statusor.h>
#include <boost/json/fwd.hpp>
#include <string>
#include <string_view>

namespace camphorfield {

/**
 * Largest encoded object, bytes. Chunks and stored values are not split within
 * an object.
 */
constexpr std::size_t kMaxObjectBytes = 384UL * 1024;

/** Kind and name of an object. */
ObjectKey
KeyOf(const ConfigObject& aObject);

/**
 * Encode one object.
 * @return Canonical text: equal objects give equal bytes on all daemons.
 */
std::string
EncodeObject(const ConfigObject& aObject);

/** JSON fields of an object, in canonical order. */
boost::json::object
ObjectFields(const ConfigObject& aObject);

/**
 * Decode one object.
 * @param aFaults Receives the faults; the object is unusable if there are any.
 */
ConfigObject
DecodeObject(const boost::json::value& aJson, ConfigFaults& aFaults);

/** Encode a set: a JSON list of its objects, sorted by kind and name. */
std::string
EncodeConfigSet(const ConfigSet& aSet);

/**
 * Decode a set.
 * @param aText Output of EncodeConfigSet.
 * @return The set, or InvalidArgument with the first fault.
 */
absl::StatusOr<ConfigSet>
DecodeConfigSet(std::string_view aText);

/**
 * Decode a change document of an operator.
 * @param aChange Receives the change; usable only without faults.
 * @return All faults of the document.
 */
ConfigFaults
ParseChange(std::string_view aText, Change& aChange);

/** Encode a change document. */
std::string
EncodeChange(const Change& aChange);

} // namespace camphorfield

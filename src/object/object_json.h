/** JSON form of objects, sets and changes; see docs/CONFIG.md. */
#pragma once

#include "object/change_type.h"
#include "object/fault_type.h"

#include <absl/status/statusor.h>
#include <boost/json/fwd.hpp>
#include <string>
#include <string_view>

namespace camphorfield {

/** Bytes of one encoded object; chunks and values of the store hold it whole.
 */
constexpr std::size_t kMaxObjectBytes = 384UL * 1024;

/** Kind and name of an object. */
ObjectKey
KeyOf(const ConfigObject& aObject);

/**
 * Encode one object.
 * @return The canonical text: equal objects give equal bytes on all daemons.
 */
std::string
EncodeObject(const ConfigObject& aObject);

/** Fields of an object, in their canonical order. */
boost::json::object
ObjectFields(const ConfigObject& aObject);

/**
 * Decode one object.
 * @param aFaults Faults are added here; they leave the object unusable.
 */
ConfigObject
DecodeObject(const boost::json::value& aJson, ConfigFaults& aFaults);

/** Encode a set: a JSON list of its objects, sorted by kind and name. */
std::string
EncodeConfigSet(const ConfigSet& aSet);

/**
 * Decode a set.
 * @param aText What EncodeConfigSet wrote.
 * @return The set, or InvalidArgument with the first fault.
 */
absl::StatusOr<ConfigSet>
DecodeConfigSet(std::string_view aText);

/**
 * Decode a change document of an operator.
 * @param aText The document.
 * @param aChange The change; usable only when no fault was found.
 * @return All faults of the document.
 */
ConfigFaults
ParseChange(std::string_view aText, Change& aChange);

/** Encode a change document. */
std::string
EncodeChange(const Change& aChange);

} // namespace camphorfield

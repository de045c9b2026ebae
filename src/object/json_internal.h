/** Strict reader of JSON objects: reports missing, unknown and wrong fields. */
#pragma once

#include "core/time_type.h"
#include "object/fault_func.h"

#include <boost/json/object.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace camphorfield {

constexpr std::size_t kMaxTextBytes = 256;     ///< Largest string.
constexpr std::size_t kMaxListEntries = 65536; ///< Largest list.
constexpr double kMaxMillis = 3600.0 * 1000.0; ///< One hour.
constexpr double kFractionSteps = 1e6;         ///< Steps per 1.0 of fractions.

/** Whether a field may be left out. */
enum class FieldPresence : std::uint8_t
{
  Required,
  Optional
};

/** State while one JSON object is read. */
struct FieldReader
{
  const boost::json::object* json_ = nullptr; ///< Object being read.
  std::string object_;                        ///< "kind/name", for faults.
  std::string path_;               ///< Path of this object, or empty.
  ConfigFaults* faults_ = nullptr; ///< Receives the faults.
  std::vector<std::string_view> knownFields_; ///< Fields looked up so far.
};

/** Report a fault at a field of the object being read. */
void
ReportField(FieldReader& aReader,
            ConfigFaultCode aCode,
            std::string_view aField,
            std::string_view aReason);

/**
 * Look up a field.
 * @return Null when absent; a missing required field is reported.
 */
const boost::json::value*
FindField(FieldReader& aReader,
          std::string_view aField,
          FieldPresence aPresence);

/** Read a string of at most kMaxTextBytes. */
void
ReadString(FieldReader& aReader,
           std::string_view aField,
           FieldPresence aPresence,
           std::string& aOut);

/** Read a 32-bit unsigned integer. */
void
ReadUint32(FieldReader& aReader,
           std::string_view aField,
           FieldPresence aPresence,
           std::uint32_t& aOut);

/** Read an unsigned integer of at most 63 bits, such as a version. */
void
ReadUint64(FieldReader& aReader,
           std::string_view aField,
           FieldPresence aPresence,
           std::uint64_t& aOut);

/** Read an optional boolean. */
void
ReadBool(FieldReader& aReader, std::string_view aField, bool& aOut);

/** Read an optional number, rounded to 1 / kFractionSteps. */
void
ReadFraction(FieldReader& aReader, std::string_view aField, double& aOut);

/** Read a duration in milliseconds, rounded to microseconds. */
void
ReadDuration(FieldReader& aReader,
             std::string_view aField,
             FieldPresence aPresence,
             Duration& aOut);

/**
 * Read the name of an enumerator.
 * @param aNames Names in the order of the enumeration.
 * @param aOut Index of the name; unchanged on a fault.
 */
void
ReadEnum(FieldReader& aReader,
         std::string_view aField,
         FieldPresence aPresence,
         const std::vector<std::string_view>& aNames,
         std::size_t& aOut);

/** Look up a list; null when the field is absent or is no list. */
const boost::json::array*
FindList(FieldReader& aReader,
         std::string_view aField,
         FieldPresence aPresence);

/**
 * Start reading an entry of a list.
 * @param aReader Reader of the object that contains the list.
 * @param aEntry Reader to initialise.
 * @return False, with a fault reported, when the entry is no JSON object.
 */
bool
OpenListEntry(FieldReader& aReader,
              std::string_view aField,
              const boost::json::array& aList,
              std::size_t aIndex,
              FieldReader& aEntry);

/** Report the fields that were not looked up. */
void
ReportUnknownFields(FieldReader& aReader);

} // namespace camphorfield

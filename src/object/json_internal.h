/** Strict reading of one JSON object, field by field. */
#pragma once

#include "core/time_type.h"
#include "object/fault_func.h"

#include <boost/json/object.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace camphorfield {

constexpr std::size_t kMaxTextBytes = 256;     ///< Bytes of any text field.
constexpr std::size_t kMaxListEntries = 65536; ///< Entries of any list.
constexpr double kMaxMillis = 3600.0 * 1000.0; ///< Largest duration.
constexpr double kFractionSteps = 1e6;         ///< Resolution of shares.

/** Whether a field may be left out. */
enum class FieldPresence : std::uint8_t
{
  Required,
  Optional
};

/** Position in a document while one JSON object is read. */
struct FieldReader
{
  const boost::json::object* json_ = nullptr; ///< The object read.
  std::string object_;                        ///< "kind/name" for the faults.
  std::string path_;               ///< Prefix of field names, or empty.
  ConfigFaults* faults_ = nullptr; ///< Where faults go.
  std::vector<std::string_view> knownFields_; ///< Fields asked for so far.
};

/** Note a fault at a field of the object that is read. */
void
ReportField(FieldReader& aReader,
            ConfigFaultCode aCode,
            std::string_view aField,
            std::string_view aReason);

/**
 * Value of a field.
 * @return Null when it is absent; a required one is reported.
 */
const boost::json::value*
FindField(FieldReader& aReader,
          std::string_view aField,
          FieldPresence aPresence);

/** Read a text of at most kMaxTextBytes. */
void
ReadString(FieldReader& aReader,
           std::string_view aField,
           FieldPresence aPresence,
           std::string& aOut);

/** Read a whole number of 32 bits. */
void
ReadUint32(FieldReader& aReader,
           std::string_view aField,
           FieldPresence aPresence,
           std::uint32_t& aOut);

/** Read a whole number of 63 bits, such as a version. */
void
ReadUint64(FieldReader& aReader,
           std::string_view aField,
           FieldPresence aPresence,
           std::uint64_t& aOut);

/** Read a truth value. */
void
ReadBool(FieldReader& aReader, std::string_view aField, bool& aOut);

/** Read a number kept in steps of one millionth. */
void
ReadFraction(FieldReader& aReader, std::string_view aField, double& aOut);

/** Read a duration in milliseconds, kept in microseconds. */
void
ReadDuration(FieldReader& aReader,
             std::string_view aField,
             FieldPresence aPresence,
             Duration& aOut);

/**
 * Read one of several names.
 * @param aNames Names in the order of their numbers.
 * @param aOut Number of the name.
 */
void
ReadEnum(FieldReader& aReader,
         std::string_view aField,
         FieldPresence aPresence,
         const std::vector<std::string_view>& aNames,
         std::size_t& aOut);

/** Find a list; null when it is absent or no list. */
const boost::json::array*
FindList(FieldReader& aReader,
         std::string_view aField,
         FieldPresence aPresence);

/**
 * Reader of an entry of a list.
 * @param aReader Reader of the object that holds the list.
 * @param aEntry Reader to set up.
 * @return False when the entry is no JSON object; that is reported.
 */
bool
OpenListEntry(FieldReader& aReader,
              std::string_view aField,
              const boost::json::array& aList,
              std::size_t aIndex,
              FieldReader& aEntry);

/** Report the fields that nobody asked for. */
void
ReportUnknownFields(FieldReader& aReader);

} // namespace camphorfield

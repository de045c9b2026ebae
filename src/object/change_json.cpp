// Decodes change documents of operators and stored sets. Documents are
// untrusted: each is scanned for size, nesting and syntax before it is parsed.
#include "object/json_internal.h"
#include "object/json_scan.h"
#include "object/object_diff.h"
#include "object/object_json.h"
#include "table/object_table.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

namespace camphorfield {

namespace json = boost::json;

namespace {

json::value
ParseScanned(std::string_view aText)
{
  json::parse_options options;
  options.max_depth = kMaxJsonDepth;
  boost::system::error_code error;
  return json::parse({ aText.data(), aText.size() }, error, {}, options);
}

ObjectKey
DecodeKey(FieldReader& aReader)
{
  std::size_t kind = 0;
  ObjectKey key;
  ReadEnum(aReader,
           "kind",
           FieldPresence::Required,
           { kObjectKindNames.begin(), kObjectKindNames.end() },
           kind);
  ReadString(aReader, "name", FieldPresence::Required, key.name_);
  ReportUnknownFields(aReader);
  key.kind_ = static_cast<ObjectKind>(kind);
  return key;
}

void
DecodePuts(FieldReader& aReader, Change& aChange)
{
  const json::array* list = FindList(aReader, "put", FieldPresence::Optional);
  for (std::size_t i = 0; list != nullptr && i < list->size(); i++) {
    const std::size_t before = aReader.faults_->size();
    ConfigObject object = DecodeObject((*list)[i], *aReader.faults_);
    // Without a kind or name the object is identified by its list position.
    for (std::size_t f = before; f < aReader.faults_->size(); f++) {
      ConfigFault& fault = (*aReader.faults_)[f];
      if (fault.object_ == "change") {
        const std::string place = "put[" + std::to_string(i) + "]";
        fault.field_ =
          fault.field_.empty() ? place : place + "." + fault.field_;
      }
    }
    aChange.puts_.push_back(std::move(object));
  }
}

void
DecodeDeletes(FieldReader& aReader, Change& aChange)
{
  const json::array* list =
    FindList(aReader, "delete", FieldPresence::Optional);
  for (std::size_t i = 0; list != nullptr && i < list->size(); i++) {
    FieldReader entry;
    if (OpenListEntry(aReader, "delete", *list, i, entry)) {
      aChange.deletes_.push_back(DecodeKey(entry));
    }
  }
}

} // namespace

ConfigFaults
ParseChange(std::string_view aText, Change& aChange)
{
  ConfigFaults faults;
  if (!ScanJson(aText, kMaxChangeBytes, faults)) {
    return faults;
  }
  const json::value document = ParseScanned(aText);
  FieldReader reader{ nullptr, "change", "", &faults, {} };
  if (!document.is_object()) {
    ReportField(reader, ConfigFaultCode::NotAnObject, "", "");
    return faults;
  }
  reader.json_ = &document.get_object();
  DecodePuts(reader, aChange);
  DecodeDeletes(reader, aChange);
  ReadUint64(
    reader, "based_on", FieldPresence::Required, aChange.basedOn_.value_);
  ReportUnknownFields(reader);
  return faults;
}

absl::StatusOr<ConfigSet>
DecodeConfigSet(std::string_view aText)
{
  ConfigFaults faults;
  ConfigSet set;
  if (ScanJson(aText, kMaxSetBytes, faults)) {
    const json::value document = ParseScanned(aText);
    if (!document.is_array()) {
      AddFault(faults, ConfigFaultCode::WrongType, "set", "", "not a list");
    } else {
      for (const json::value& entry : document.get_array()) {
        PutObject(set, DecodeObject(entry, faults));
      }
    }
  }
  if (!faults.empty()) {
    const ConfigFault& first = faults.front();
    return absl::InvalidArgumentError(
      std::string(GetConfigFaultRow(first.code_).name_) + " " + first.object_ +
      " " + first.field_ + " " + first.reason_);
  }
  return set;
}

} // namespace camphorfield

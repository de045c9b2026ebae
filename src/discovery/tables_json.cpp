#include "discovery/tables_json.h"

#include <boost/json.hpp>

namespace camphorfield {

namespace json = boost::json;

namespace {

json::object
EncodeTable(const TableContent& aTable)
{
  json::array objects;
  for (const StoreObject& object : aTable.objects_) {
    objects.push_back({ { "name", object.name_ },
                        { "revision", object.revision_ },
                        { "text", object.text_ } });
  }
  return { { "kind", aTable.kind_ },
           { "revision", aTable.revision_ },
           { "objects", std::move(objects) } };
}

/** Throws what boost::json throws for a missing or mistyped field. */
TableContent
DecodeTable(const json::object& aObject)
{
  TableContent table;
  table.kind_ = std::string(aObject.at("kind").as_string());
  table.revision_ = aObject.at("revision").to_number<std::uint64_t>();
  for (const json::value& item : aObject.at("objects").as_array()) {
    const json::object& object = item.as_object();
    table.objects_.push_back({ std::string(object.at("name").as_string()),
                               object.at("revision").to_number<std::uint64_t>(),
                               std::string(object.at("text").as_string()) });
  }
  return table;
}

} // namespace

TableContent
GetContent(const TableSync& aTable)
{
  TableContent content;
  content.kind_ = aTable.kind_;
  content.revision_ = aTable.revision_;
  for (const auto& [name, object] : aTable.objects_) {
    content.objects_.push_back(object);
  }
  return content;
}

std::string
EncodeTables(const std::vector<TableContent>& aTables)
{
  json::array tables;
  for (const TableContent& table : aTables) {
    tables.push_back(EncodeTable(table));
  }
  return json::serialize(tables);
}

absl::StatusOr<std::vector<TableContent>>
DecodeTables(const std::string& aText)
{
  std::vector<TableContent> tables;
  try {
    const json::value document = json::parse(aText);
    for (const json::value& item : document.as_array()) {
      tables.push_back(DecodeTable(item.as_object()));
    }
  } catch (const std::exception& fault) {
    return absl::InvalidArgumentError(fault.what());
  }
  return tables;
}

} // namespace camphorfield

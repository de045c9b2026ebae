/** Tables as daemons hand them to one that the store refuses. */
#pragma once

#include "discovery/table_sync.h"

#include <absl/status/statusor.h>
#include <string>
#include <vector>

namespace camphorfield {

/** Content of one table. */
struct TableContent
{
  std::string kind_;
  std::uint64_t revision_ = 0;
  std::vector<StoreObject> objects_;
};

/** Copies a table's content. */
TableContent
GetContent(const TableSync& aTable);

std::string
EncodeTables(const std::vector<TableContent>& aTables);

/** @return InvalidArgument when the text is malformed. */
absl::StatusOr<std::vector<TableContent>>
DecodeTables(const std::string& aText);

} // namespace camphorfield

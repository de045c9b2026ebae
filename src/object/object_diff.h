/** Applying changes to a set, and differences between sets. */
#pragma once

#include "object/change_type.h"

#include <string>
#include <vector>

namespace camphorfield {

/** Create or replace one object. */
void
PutObject(ConfigSet& aSet, ConfigObject aObject);

/**
 * Remove one object.
 * @return False when there is none.
 */
bool
DeleteObject(ConfigSet& aSet, const ObjectKey& aKey);

/** All objects of a set, sorted by kind and name. */
std::vector<ConfigObject>
ListObjects(const ConfigSet& aSet);

/**
 * Keys of the objects that a change puts or deletes, sorted, without
 * duplicates.
 */
std::vector<ObjectKey>
ChangedObjectKeys(const Change& aChange);

/** Apply a change to a copy of a set: puts first, then deletes. */
ConfigSet
MergeChange(const ConfigSet& aSet, const Change& aChange);

/** Differences between two sets, sorted by kind and name. */
std::vector<ObjectDiff>
DiffSets(const ConfigSet& aBefore, const ConfigSet& aAfter);

/** JSON list of differences. */
std::string
EncodeDiff(const std::vector<ObjectDiff>& aDiff);

} // namespace camphorfield

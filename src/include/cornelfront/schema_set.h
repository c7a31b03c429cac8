#pragma once

/// \file
/// The schemas that are currently in force, by service.

#include "cornelfront/schema.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace cornelfront {

/// Immutable once built. A request keeps the set that was in force when it was
/// received.
struct SchemaSet
{
  std::map<std::string, std::shared_ptr<const ServiceSchema>> services_;
};

using SchemaSetPtr = std::shared_ptr<const SchemaSet>;

/// Returns the schemas that are currently in force; never null. Thread-safe and
/// cheap.
using SchemaSource = std::function<SchemaSetPtr()>;

struct ConfigState;

/// Builds the set from the configuration keys "schema/<service>". A value that
/// is not a valid schema is left out; every process does the same.
SchemaSet
BuildSchemaSet(const ConfigState& aState);

} // namespace cornelfront

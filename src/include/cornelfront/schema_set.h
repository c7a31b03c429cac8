#pragma once

/// \file
/// The schemas in force, by service.

#include "cornelfront/schema.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace cornelfront {

/// Immutable once built; requests keep the set under which they were taken.
struct SchemaSet
{
  std::map<std::string, std::shared_ptr<const ServiceSchema>> services_;
};

using SchemaSetPtr = std::shared_ptr<const SchemaSet>;

/// Returns the schemas in force now. Thread-safe and cheap; never null.
using SchemaSource = std::function<SchemaSetPtr()>;

struct ConfigState;

/// Builds the set from the keys "schema/<service>". A text that is not a valid
/// schema is left out, as by every other process.
SchemaSet
BuildSchemaSet(const ConfigState& aState);

} // namespace cornelfront

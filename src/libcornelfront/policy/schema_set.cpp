#include "cornelfront/schema_set.h"

#include "cornelfront/config.h"

namespace cornelfront {

namespace {

const std::string kSchemaPrefix = "schema/";

} // namespace

SchemaSet
BuildSchemaSet(const ConfigState& aState)
{
  SchemaSet set;
  for (const auto& [key, value] : aState.keys_) {
    if (!key.starts_with(kSchemaPrefix)) {
      continue;
    }
    try {
      for (ServiceSchema& schema : ParseSchema(value.text_)) {
        const std::string service = schema.service_;
        set.services_[service] =
          std::make_shared<const ServiceSchema>(std::move(schema));
      }
    } catch (const FileErrors&) {
      continue;
    }
  }
  return set;
}

} // namespace cornelfront

#pragma once

/// \file
/// Typed access to fields of JSON objects received from other systems.

#include <nlohmann/json.hpp>

#include <cmath>
#include <cstdint>
#include <limits>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace cornelfront::platform {

/// A message from another system is malformed, or a field of it is missing or
/// has the wrong type.
class WireFormatError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

/// Parses a JSON object.
/// \throws WireFormatError if the text is not a JSON object
inline nlohmann::json
ParseObject(std::string_view aText)
{
  auto json = nlohmann::json::parse(aText, nullptr, false);
  if (!json.is_object()) {
    throw WireFormatError("not a JSON object");
  }
  return json;
}

/// Returns the field, or nullptr if it is absent or null.
inline const nlohmann::json*
FindField(const nlohmann::json& aObject, const char* aName)
{
  const auto found = aObject.find(aName);
  return found == aObject.end() || found->is_null() ? nullptr : &*found;
}

[[noreturn]] inline void
ThrowFieldError(const char* aName, const std::string& aProblem)
{
  throw WireFormatError("field '" + std::string(aName) + "' " + aProblem);
}

/// Converts a JSON number to an integer. Also accepts integers written with a
/// fraction, such as 5.0.
inline int64_t
ToInteger(const nlohmann::json& aValue, const char* aName)
{
  if (aValue.is_number_integer()) {
    return aValue.get<int64_t>();
  }
  if (aValue.is_number_float()) {
    const double number = aValue.get<double>();
    constexpr double kLargest = 9e15;
    if (std::abs(number) <= kLargest && number == std::floor(number)) {
      return static_cast<int64_t>(number);
    }
  }
  ThrowFieldError(aName, "is not a whole number");
}

/// Returns an integer field of at least \p aMin, or \p aDefault if it is
/// absent.
inline int64_t
IntegerField(const nlohmann::json& aObject,
             const char* aName,
             int64_t aDefault,
             int64_t aMin = 0)
{
  const auto* field = FindField(aObject, aName);
  if (field == nullptr) {
    return aDefault;
  }
  const int64_t number = ToInteger(*field, aName);
  if (number < aMin) {
    ThrowFieldError(aName, "is less than " + std::to_string(aMin));
  }
  return number;
}

/// Returns a non-negative integer field that fits in 32 bits, or \p aDefault if
/// it is absent.
inline uint32_t
CountField(const nlohmann::json& aObject, const char* aName, uint32_t aDefault)
{
  const int64_t number = IntegerField(aObject, aName, aDefault);
  if (number > std::numeric_limits<uint32_t>::max()) {
    ThrowFieldError(aName, "is too large");
  }
  return static_cast<uint32_t>(number);
}

inline double
NumberField(const nlohmann::json& aObject, const char* aName, double aDefault)
{
  const auto* field = FindField(aObject, aName);
  if (field == nullptr) {
    return aDefault;
  }
  if (!field->is_number()) {
    ThrowFieldError(aName, "is not a number");
  }
  return field->get<double>();
}

inline bool
BoolField(const nlohmann::json& aObject, const char* aName)
{
  const auto* field = FindField(aObject, aName);
  if (field == nullptr) {
    return false;
  }
  if (!field->is_boolean()) {
    ThrowFieldError(aName, "is not a boolean");
  }
  return field->get<bool>();
}

inline std::string
TextField(const nlohmann::json& aObject,
          const char* aName,
          const std::string& aDefault = "")
{
  const auto* field = FindField(aObject, aName);
  if (field == nullptr) {
    return aDefault;
  }
  if (!field->is_string()) {
    ThrowFieldError(aName, "is not a string");
  }
  return field->get<std::string>();
}

/// Returns a string field that must be present and non-empty.
inline std::string
RequiredText(const nlohmann::json& aObject, const char* aName)
{
  std::string text = TextField(aObject, aName);
  if (text.empty()) {
    ThrowFieldError(aName, "is missing");
  }
  return text;
}

/// Returns an array field, or an empty array if it is absent.
inline nlohmann::json
ListField(const nlohmann::json& aObject, const char* aName)
{
  const auto* field = FindField(aObject, aName);
  if (field == nullptr) {
    return nlohmann::json::array();
  }
  if (!field->is_array()) {
    ThrowFieldError(aName, "is not a list");
  }
  return *field;
}

} // namespace cornelfront::platform

#pragma once

/// \file
/// Typed reading of YAML files that collects every fault with its line and
/// dotted key instead of stopping at the first. Used for schemas, policies and
/// settings.

#include "cornelfront/clock.h"
#include "cornelfront/schema.h"

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cornelfront {

/// Parses "200ms", "2s" or "5min"; nullopt for anything else.
std::optional<Millis>
ParseDuration(const std::string& aText);

/// Shortest text that ParseDuration reads back to \p aDuration.
std::string
FormatDuration(Millis aDuration);

/// Parses "64B", "64KB", "64MB" or "2GB" into bytes, in multiples of 1024;
/// nullopt for anything else.
std::optional<uint64_t>
ParseByteSize(const std::string& aText);

/// Inclusive bounds of a value.
template<class Value>
struct Bounds
{
  Value min_ = std::numeric_limits<Value>::lowest();
  Value max_ = std::numeric_limits<Value>::max();
};

using DurationBounds = Bounds<Millis::rep>;

/// One YAML map. Each getter returns its default for an absent key, and for a
/// faulty value after adding a FileError; a key that no getter asked for is
/// reported by RejectUnknownKeys. Reading goes on after every fault. The
/// vector of errors must outlive the section.
class YamlSection
{
public:
  /// Parses a whole file; a syntax error is one FileError and an absent
  /// section.
  static YamlSection Parse(const std::string& aYaml,
                           std::vector<FileError>& aErrors);

  /// False for a section that is absent or no map.
  bool Present() const { return present_; }
  /// Dotted path from the top of the file; empty for the top itself.
  const std::string& Path() const { return path_; }
  /// Line counted from 1 of the key that holds this section.
  int Line() const { return line_; }
  /// Keys in the order of the file.
  const std::vector<std::string>& Keys() const { return order_; }
  bool Has(const std::string& aKey) const { return values_.contains(aKey); }

  std::string Text(const std::string& aKey, const std::string& aDefault = "");
  bool Flag(const std::string& aKey, bool aDefault);
  uint64_t Count(const std::string& aKey,
                 uint64_t aDefault,
                 Bounds<uint64_t> aBounds = {});
  double Number(const std::string& aKey,
                double aDefault,
                Bounds<double> aBounds = {});
  /// Bounds are in milliseconds.
  Millis Duration(const std::string& aKey,
                  Millis aDefault,
                  DurationBounds aBounds = {});
  /// Returns bytes; bounds are in bytes.
  uint64_t ByteSize(const std::string& aKey,
                    uint64_t aDefault,
                    Bounds<uint64_t> aBounds = {});
  /// Returns the place of the value in \p aNames, or \p aDefault.
  size_t Choice(const std::string& aKey,
                const std::vector<std::string>& aNames,
                size_t aDefault);
  std::vector<std::string> TextList(const std::string& aKey);
  /// Returns the map under \p aKey; an absent section if there is none.
  YamlSection Section(const std::string& aKey);

  /// Adds an error if \p aKey is absent.
  void Require(const std::string& aKey);
  /// Adds an error for each key that no getter has asked for.
  void RejectUnknownKeys();
  /// Adds an error at the line of \p aKey, or of this section if \p aKey is
  /// absent. The message names the key in quotes.
  void Fail(const std::string& aKey, const std::string& aMessage);

private:
  struct Value
  {
    YAML::Node node_;
    int line_ = 0;
    bool asked_ = false;
  };

  YamlSection(std::string aPath, int aLine, std::vector<FileError>& aErrors);

  void Load(const YAML::Node& aMap);
  void AddError(int aLine, const std::string& aMessage);
  /// Marks the key as known and returns its node if it is present.
  const YAML::Node* Ask(const std::string& aKey);
  /// Returns the text of a scalar; adds an error if it is not one.
  std::optional<std::string> Scalar(const std::string& aKey,
                                    const std::string& aExpected);

  std::string path_;
  int line_ = 0;
  bool present_ = false;
  std::vector<std::string> order_;
  std::map<std::string, Value> values_;
  /// Keys that a getter has asked for, present or not.
  std::vector<std::string> known_;
  std::vector<FileError>* errors_;
};

} // namespace cornelfront

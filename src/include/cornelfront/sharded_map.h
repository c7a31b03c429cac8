#pragma once

/// \file
/// Hash map that is split into shards, each with its own lock.

#include <array>
#include <cstddef>
#include <functional>
#include <mutex>
#include <unordered_map>
#include <utility>

namespace cornelfront {

/// Thread-safe hash map. Callbacks run under the lock of one shard: they must
/// be short, must not perform I/O and must never call back into the same map.
template<class Key, class Value, size_t ShardCount = 16>
class ShardedMap
{
public:
  /// Calls \p aUse(std::unordered_map<Key, Value>&) with the shard of \p aKey
  /// locked and returns its result.
  template<class Use>
  auto WithShard(const Key& aKey, Use&& aUse)
  {
    Shard& shard = shards_[std::hash<Key>{}(aKey) % ShardCount];
    std::lock_guard lock(shard.mutex_);
    return std::forward<Use>(aUse)(shard.map_);
  }

  /// Calls \p aUse(std::unordered_map<Key, Value>&) for every shard in turn.
  template<class Use>
  void ForEachShard(Use&& aUse)
  {
    for (Shard& shard : shards_) {
      std::lock_guard lock(shard.mutex_);
      aUse(shard.map_);
    }
  }

  /// Number of elements; exact only if no thread modifies the map meanwhile.
  size_t size()
  {
    size_t total = 0;
    ForEachShard([&](auto& aMap) { total += aMap.size(); });
    return total;
  }

private:
  struct Shard
  {
    std::mutex mutex_;
    std::unordered_map<Key, Value> map_;
  };

  std::array<Shard, ShardCount> shards_;
};

} // namespace cornelfront

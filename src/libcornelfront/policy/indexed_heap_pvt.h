#pragma once

/// \file
/// Binary heap whose items can change their key and be removed.

#include <cstddef>
#include <cstdint>
#include <vector>

namespace cornelfront {

/// Min-heap of small integers, each with a key. Set and Remove take time
/// logarithmic in the number of items.
class IndexedHeap
{
public:
  using Item = uint32_t;

  /// Inserts the item or changes its key.
  void Set(Item aItem, uint64_t aKey);
  /// Does nothing if the item is absent.
  void Remove(Item aItem);
  bool Contains(Item aItem) const;

  /// The item with the smallest key; the heap must not be empty.
  Item Top() const { return nodes_.front().item_; }
  /// The item at a position less than size(); positions are in no particular
  /// order.
  Item At(size_t aPosition) const { return nodes_[aPosition].item_; }
  size_t size() const { return nodes_.size(); }
  bool empty() const { return nodes_.empty(); }

private:
  struct Node
  {
    uint64_t key_;
    Item item_;
  };

  void Place(size_t aPosition, Node aNode);
  void SiftUp(size_t aPosition);
  void SiftDown(size_t aPosition);

  std::vector<Node> nodes_;
  /// Position of each item in nodes_, plus one; 0 if the item is absent.
  std::vector<uint32_t> positions_;
};

} // namespace cornelfront

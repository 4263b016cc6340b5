// A cell whose value is replaced by read-copy-update (RCU). Readers never
// block. A writer blocks until no reader can still see the old value.
#ifndef MAGNOLIATIDE_CORE_RCU_CELL_H
#define MAGNOLIATIDE_CORE_RCU_CELL_H

#include <memory>
#include <mutex>

namespace magnoliatide {

/// Wrappers of liburcu. aCell identifies the cell to ThreadSanitizer.
namespace detail {
void
RcuReadLock();
void
RcuReadUnlock(const void* aCell);
void
RcuSynchronize(const void* aCell);
void*
RcuExchange(void** aLocation, void* aNew);
void*
RcuLoad(void* const* aLocation);
} // namespace detail

/// Holds an immutable value that is read by many threads and rarely replaced.
///
///     RcuCell<Document> cell(first);
///     auto now = cell.Load();   // shared_ptr<const Document>
template<typename T>
class RcuCell
{
public:
  using Pointer = std::shared_ptr<const T>;

  explicit RcuCell(Pointer aFirst = nullptr)
    : mValue(new Pointer(std::move(aFirst)))
  {
  }

  ~RcuCell() { delete static_cast<Pointer*>(mValue); }

  RcuCell(const RcuCell&) = delete;
  RcuCell& operator=(const RcuCell&) = delete;

  /// Returns the current value, null if it was never set. The value stays
  /// alive while the pointer is held.
  Pointer Load() const
  {
    detail::RcuReadLock();
    Pointer copy = *static_cast<Pointer*>(detail::RcuLoad(&mValue));
    detail::RcuReadUnlock(this);
    return copy;
  }

  /// Replaces the value. Blocks until no reader can see the old one.
  void Store(Pointer aNext)
  {
    auto* replacement = new Pointer(std::move(aNext));
    std::lock_guard<std::mutex> lock(mWriteMutex);
    auto* old =
      static_cast<Pointer*>(detail::RcuExchange(&mValue, replacement));
    detail::RcuSynchronize(this);
    delete old;
  }

private:
  // Always points to a Pointer. A replaced one is deleted only after every
  // reader that could have seen it has left its read-side critical section.
  void* mValue;
  std::mutex mWriteMutex;
};

} // namespace magnoliatide

#endif

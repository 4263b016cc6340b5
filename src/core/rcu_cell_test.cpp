// Tests that readers of a cell see complete values, and never an older one
// after a newer one, while a writer replaces them.
#include "magnoliatide/core/rcu_cell.h"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>
#include <vector>

namespace magnoliatide {
namespace {

struct Pair
{
  int left = 0;
  int right = 0;
};

TEST(RcuCell, ReadersSeeWholeValues)
{
  constexpr int kWriteCount = 2000;
  RcuCell<Pair> cell(std::make_shared<Pair>());
  std::atomic<bool> done{ false };
  std::atomic<int> badReads{ 0 };
  std::vector<std::thread> readers;
  for (int i = 0; i < 3; ++i) {
    readers.emplace_back([&] {
      int last = 0;
      while (!done.load()) {
        const auto value = cell.Load();
        badReads += value->left != value->right || value->left < last ? 1 : 0;
        last = value->left;
      }
    });
  }
  for (int i = 1; i <= kWriteCount; ++i) {
    cell.Store(std::make_shared<Pair>(Pair{ i, i }));
  }
  done.store(true);
  for (auto& reader : readers) {
    reader.join();
  }
  EXPECT_EQ(badReads.load(), 0);
  EXPECT_EQ(cell.Load()->left, kWriteCount);
}

} // namespace
} // namespace magnoliatide

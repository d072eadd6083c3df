#include "base/process_memory.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <string>

namespace hibiscusglade {
namespace {

constexpr uint64_t kStep = MemoryGrowthGate::kGrowthStep;

TEST(ProcessMemoryTest, AnAllocationShowsInTheHeapInUse) {
  const uint64_t before = ReadProcessMemory().heap_in_use;
  const std::string block(8 << 20, 'x');
  const ProcessMemory after = ReadProcessMemory();
  EXPECT_GE(after.heap_in_use, before + block.size());
  EXPECT_GE(after.resident, block.size());
}

TEST(ProcessMemoryTest, AnOpenedDescriptorIsCounted) {
  const uint64_t before = CountDescriptors();
  const int descriptor = dup(STDOUT_FILENO);
  EXPECT_EQ(CountDescriptors(), before + 1);
  close(descriptor);
  EXPECT_EQ(CountDescriptors(), before);
}

TEST(MemoryGrowthGateTest, ALineIsDueForEachStepOfGrowthAndForNoneWithoutIt) {
  MemoryGrowthGate gate;
  EXPECT_FALSE(gate.Crosses({kStep, 0, 0}));
  EXPECT_FALSE(gate.Crosses({2 * kStep - 1, 0, 0}));
  EXPECT_TRUE(gate.Crosses({2 * kStep, 0, 0}));
  EXPECT_FALSE(gate.Crosses({2 * kStep, 0, 0}));
  EXPECT_TRUE(gate.Crosses({4 * kStep, 0, 0}));
}

TEST(MemoryGrowthGateTest, ASecondCrestAfterMemoryWasGivenBackIsTold) {
  MemoryGrowthGate gate;
  EXPECT_FALSE(gate.Crosses({kStep, 0, 0}));
  EXPECT_TRUE(gate.Crosses({4 * kStep, 0, 0}));
  EXPECT_FALSE(gate.Crosses({kStep, 0, 0}));
  EXPECT_TRUE(gate.Crosses({2 * kStep, 0, 0}));
}

TEST(MemoryGrowthGateTest, TheHeapCountsWhereResidentMemoryIsNotKnown) {
  MemoryGrowthGate gate;
  EXPECT_FALSE(gate.Crosses({0, kStep, 0}));
  EXPECT_TRUE(gate.Crosses({0, kStep, kStep}));
}

}  // namespace
}  // namespace hibiscusglade

// Workers: order of posted functions, and fibers that suspend while the event
// loop is polled.
#include "runtime/worker.h"

#include <CppUTest/TestHarness.h>
#include <boost/fiber/buffered_channel.hpp>
#include <boost/fiber/operations.hpp>
#include <future>
#include <stdexcept>

using namespace camphorfield;

namespace {

constexpr int kItems = 20000;
constexpr std::size_t kCapacity = 16;

using Channel = boost::fibers::buffered_channel<int>;

/** Posts one item at a time and suspends until it arrives. */
void
Consume(Worker& aWorker,
        Channel& aChannel,
        std::promise<int>& aDone,
        bool& aEnded)
{
  int sum = 0;
  for (int i = 0; i < kItems; ++i) {
    aWorker.Post([&aChannel]() { aChannel.try_push(1); });
    // Shifts the moment of suspension relative to the polls of the event loop.
    for (int j = 0; j < i % 20; ++j) {
      boost::this_fiber::yield();
    }
    sum += aChannel.value_pop();
  }
  aEnded = true;
  aDone.set_value(sum);
}

/** Keeps a fiber ready, so that the event loop is polled between fibers. */
void
YieldUntilEnded(const bool& aEnded)
{
  while (!aEnded) {
    boost::this_fiber::yield();
  }
}

} // namespace

TEST_GROUP(Worker){};

// Guards against a deadlock: a suspending fiber holds the channel's spinlock
// until the next fiber runs, and a handler that is polled in between and uses
// the channel would spin on that lock forever.
TEST(Worker, HandlersDoNotRunWhileAFiberSuspends)
{
  Channel channel(kCapacity);
  std::promise<int> done;
  bool ended = false;
  Worker worker;
  worker.Spawn([&]() { Consume(worker, channel, done, ended); });
  worker.Spawn([&]() { YieldUntilEnded(ended); });
  LONGS_EQUAL(kItems, done.get_future().get());
}

TEST(Worker, PostedFunctionsRunInOrder)
{
  std::promise<int> last;
  int next = 0;
  bool inOrder = true;
  Worker worker;
  for (int i = 0; i < 1000; ++i) {
    worker.Post([&, i]() { inOrder = inOrder && next++ == i; });
  }
  worker.Post([&]() { last.set_value(next); });
  LONGS_EQUAL(1000, last.get_future().get());
  CHECK_TRUE(inOrder);
}

// A malformed message or an unexpected error in one place must not take the
// process down, which serves many others.
TEST(Worker, ExceptionsEndNeitherTheWorkerNorOtherFibers)
{
  Worker worker;
  const auto fail = []() { throw std::runtime_error("unexpected"); };
  worker.Post(fail);
  worker.Spawn(fail);
  worker.Spawn([&fail]() {
    boost::this_fiber::sleep_for(std::chrono::milliseconds(5));
    fail();
  });
  std::promise<int> done;
  worker.Spawn([&done]() {
    boost::this_fiber::sleep_for(std::chrono::milliseconds(20));
    done.set_value(1);
  });
  LONGS_EQUAL(1, done.get_future().get());
}

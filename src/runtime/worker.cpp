// Worker threads. The main fiber of each waits for the stop request, and the
// fiber scheduler runs the event loop whenever no fiber is ready.
#include "runtime/worker.h"

#include "runtime/fiber_scheduler.h"
#include "runtime/run_guarded.h"

#include <boost/asio/post.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/mutex.hpp>
#include <boost/fiber/operations.hpp>

namespace camphorfield {

/** Stop request to a worker's main fiber. */
struct WorkerStop
{
  boost::fibers::mutex mutex_;
  boost::fibers::condition_variable wake_;
  bool requested_ = false;
};

Worker::Worker()
  : context_(std::make_shared<boost::asio::io_context>(1))
  , guard_(boost::asio::make_work_guard(*context_))
  , stop_(std::make_shared<WorkerStop>())
  , thread_([this]() { Run(); })
{
}

Worker::~Worker()
{
  Post([stop = stop_]() {
    stop->requested_ = true;
    stop->wake_.notify_all();
  });
  thread_.join();
}

void
Worker::Run()
{
  boost::fibers::use_scheduling_algorithm<FiberScheduler>(context_);
  std::unique_lock lock(stop_->mutex_);
  stop_->wake_.wait(lock, [this]() { return stop_->requested_; });
}

void
Worker::Post(std::function<void()> aFunction)
{
  boost::asio::post(*context_, std::move(aFunction));
}

void
Worker::Spawn(std::function<void()> aFunction)
{
  Post([function = std::move(aFunction)]() mutable {
    boost::fibers::fiber(boost::fibers::launch::post,
                         [function = std::move(function)]() {
                           RunGuarded("unexpected error in a fiber", function);
                         })
      .detach();
  });
}

WorkerPool::WorkerPool(std::uint32_t aCount)
{
  for (std::uint32_t i = 0; i < aCount; ++i) {
    workers_.push_back(std::make_unique<Worker>());
  }
}

std::uint32_t
WorkerPool::Size() const
{
  return static_cast<std::uint32_t>(workers_.size());
}

Worker&
WorkerPool::At(std::uint64_t aIndex)
{
  return *workers_[aIndex % workers_.size()];
}

} // namespace camphorfield

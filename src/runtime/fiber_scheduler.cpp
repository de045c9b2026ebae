// Schedules fibers and Asio handlers on one thread, without starving the
// sockets and without running a handler while a suspending fiber holds a
// spinlock.
#include "runtime/fiber_scheduler.h"

#include "observe/log.h"

#include <boost/asio/post.hpp>
#include <exception>

namespace camphorfield {

namespace {

// The event loop is polled after this many picks even if fibers are ready:
// fibers that wake each other would starve the sockets otherwise.
constexpr std::uint32_t kPicksBetweenPolls = 32;

/** Runs a step of the event loop. An exception of one callback must not end the
 * process, which serves many others. */
template<typename Step>
void
RunStep(const Step& aStep)
{
  try {
    aStep();
  } catch (const std::exception& error) {
    WriteLog(LogLevel::Error,
             "unexpected error in a callback",
             { { "reason", error.what() } });
  }
}

// A suspending fiber holds the spinlock of what it waits for until the next
// fiber runs. A handler that is polled in between and takes the same lock would
// spin forever. The dispatcher fiber holds no lock and runs once a round.
bool
IsDispatcherActive()
{
  return boost::fibers::context::active()->is_context(
    boost::fibers::type::dispatcher_context);
}

} // namespace

// A thread's scheduler is destroyed after the locals of the thread's function
// and may be notified until then, so it shares ownership of the event loop.
FiberScheduler::FiberScheduler(
  std::shared_ptr<boost::asio::io_context> aContext)
  : context_(std::move(aContext))
{
}

void
FiberScheduler::awakened(boost::fibers::context* aFiber) noexcept
{
  aFiber->ready_link(ready_);
}

boost::fibers::context*
FiberScheduler::pick_next() noexcept
{
  if (ready_.empty()) {
    return nullptr;
  }
  if (++picks_ >= kPicksBetweenPolls && IsDispatcherActive()) {
    picks_ = 0;
    RunStep([this]() { context_->poll(); });
  }
  boost::fibers::context* next = &ready_.front();
  ready_.pop_front();
  return next;
}

bool
FiberScheduler::has_ready_fibers() const noexcept
{
  return !ready_.empty();
}

void
FiberScheduler::suspend_until(
  const std::chrono::steady_clock::time_point& aUntil) noexcept
{
  picks_ = 0;
  RunStep([this, &aUntil]() {
    if (aUntil == std::chrono::steady_clock::time_point::max()) {
      context_->run_one();
    } else {
      context_->run_one_until(aUntil);
    }
  });
  // Also run the other ready handlers, which saves further waits.
  RunStep([this]() { context_->poll(); });
}

void
FiberScheduler::notify() noexcept
{
  boost::asio::post(*context_, []() {});
}

} // namespace camphorfield

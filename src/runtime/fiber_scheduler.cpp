// Schedules fibers and Asio handlers on one thread, without starving the
// sockets and without running a handler while a suspending fiber holds a
// spinlock.
#include "runtime/fiber_scheduler.h"

#include "runtime/run_guarded.h"

#include <boost/asio/post.hpp>

namespace camphorfield {

namespace {

// The event loop is polled after this many picks even if fibers are ready:
// fibers that wake each other would starve the sockets otherwise.
constexpr std::uint32_t kPicksBetweenPolls = 32;

constexpr const char* kCallbackError = "unexpected error in a callback";

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
    RunGuarded(kCallbackError, [this]() { context_->poll(); });
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
  RunGuarded(kCallbackError, [this, &aUntil]() {
    if (aUntil == std::chrono::steady_clock::time_point::max()) {
      context_->run_one();
    } else {
      context_->run_one_until(aUntil);
    }
  });
  // Also run the other ready handlers, which saves further waits.
  RunGuarded(kCallbackError, [this]() { context_->poll(); });
}

void
FiberScheduler::notify() noexcept
{
  boost::asio::post(*context_, []() {});
}

} // namespace camphorfield

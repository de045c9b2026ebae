/** Boost.Fiber scheduler that runs on an Asio event loop. */
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/scheduler.hpp>
#include <cstdint>
#include <memory>

namespace camphorfield {

/** Round-robin scheduler; without ready fibers it runs the io_context. */
class FiberScheduler final : public boost::fibers::algo::algorithm
{
public:
  /** @param aContext Event loop that only this thread runs. */
  explicit FiberScheduler(std::shared_ptr<boost::asio::io_context> aContext);

  void awakened(boost::fibers::context* aFiber) noexcept override;
  boost::fibers::context* pick_next() noexcept override;
  bool has_ready_fibers() const noexcept override;
  void suspend_until(
    const std::chrono::steady_clock::time_point& aUntil) noexcept override;
  void notify() noexcept override;

private:
  std::shared_ptr<boost::asio::io_context> context_; ///< Outlives the thread.
  boost::fibers::scheduler::ready_queue_type ready_;
  std::uint32_t picks_ = 0; ///< Fibers picked since the last poll.
};

} // namespace camphorfield

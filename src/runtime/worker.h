/** Worker threads, each with an Asio event loop that also schedules fibers. */
#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

namespace camphorfield {

/** One thread with its event loop. Its fibers never move to another thread. */
class Worker
{
public:
  Worker();
  ~Worker();
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  /** Runs a function on the worker's thread, outside of any fiber; it must not
   * block or suspend. Functions run in the order of their posting. */
  void Post(std::function<void()> aFunction);

  /** Runs a function in a new fiber on the worker's thread. */
  void Spawn(std::function<void()> aFunction);

  /** The worker's event loop; its sockets may be used only on its thread. */
  boost::asio::io_context& Context() { return *context_; }

private:
  void Run();

  std::shared_ptr<boost::asio::io_context> context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    guard_;
  std::shared_ptr<struct WorkerStop> stop_;
  std::thread thread_;
};

/** Fixed set of workers, addressed by index. */
class WorkerPool
{
public:
  /** @param aCount Number of threads, at least one. */
  explicit WorkerPool(std::uint32_t aCount);

  /** Number of workers. */
  std::uint32_t Size() const;

  /** @param aIndex Any number; taken modulo the size of the pool. */
  Worker& At(std::uint64_t aIndex);

private:
  std::vector<std::unique_ptr<Worker>> workers_;
};

} // namespace camphorfield

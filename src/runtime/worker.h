/** Pool of worker threads, each with an event loop and its fibers. */
#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

namespace camphorfield {

/** One thread, its event loop and its fibers. A fiber never changes thread. */
class Worker
{
public:
  Worker();
  ~Worker();
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  /** Runs a function on the worker's thread, outside any fiber; it must not
   * wait. Functions run in the order in which they were posted. */
  void Post(std::function<void()> aFunction);

  /** Runs a function in a new fiber on the worker's thread. */
  void Spawn(std::function<void()> aFunction);

  /** The worker's event loop; only its own thread may use its sockets. */
  boost::asio::io_context& Context() { return *context_; }

private:
  void Run();

  std::shared_ptr<boost::asio::io_context> context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    guard_;
  std::shared_ptr<struct WorkerStop> stop_;
  std::thread thread_;
};

/** The pool. Work is assigned by index. */
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

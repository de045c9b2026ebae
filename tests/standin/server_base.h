/** Stand-ins for backend servers: one process hosts many. */
#pragma once

#include "standin/http_server.h"
#include "standin/http_type.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace camphorfield::standin {

using Clock = std::chrono::steady_clock;

/** Shape of the distribution of service times. */
enum class ServiceShape : std::uint8_t
{
  Fixed,
  Exponential,
  Lognormal,
  End ///< Number of shapes.
};

/** Settings of one server that stay as they are. */
struct FarmServerSpec
{
  std::string name_;
  std::string service_;
  std::string failureDomain_;
  std::string address_ = "127.0.0.1:0"; ///< Port 0: a free one.
  std::uint32_t slots_ = 2;             ///< Requests it runs at a time.
  std::uint32_t connections_ = 25;      ///< Cap on open connections.
  std::uint32_t queue_ = 16;            ///< Requests that wait for a slot.
  Millis connectCost_{};                ///< Time before a first request.
  bool reportsLoad_ = false;            ///< Answers carry X-Load.
};

/** Settings that an admin may change at run time. */
struct Behaviour
{
  ServiceShape shape_ = ServiceShape::Lognormal;
  double meanMs_ = 5;     ///< Mean service time.
  double sigma_ = 0.5;    ///< Of the lognormal shape.
  double factor_ = 1;     ///< Straggler: multiplies service times.
  double coldFactor_ = 1; ///< Multiplies them after a start,
  Millis cold_{};         ///< for as long as this.
  std::vector<std::uint64_t> versions_{ 1 }; ///< Index versions held.
  bool draining_ = false;              ///< Reports draining, refuses new work.
  bool drainHint_ = false;             ///< Reports draining, still serves.
  bool shed_ = false;                  ///< Refuses all work.
  bool ignoresDeadline_ = false;       ///< Runs requests past their deadline.
  bool ignoresCancel_ = false;         ///< Answers cancels and does nothing.
  double failShare_ = 0;               ///< Requests that end in a plain 500.
  double corruptShare_ = 0;            ///< Queries with a label of another one.
  double truncateShare_ = 0;           ///< Answers cut in half.
  double loseAnswerShare_ = 0;         ///< Requests run, answer lost.
  std::uint64_t loseOrderAnswers_ = 0; ///< Next orders run, answer lost.
  double duplicateShare_ = 0;          ///< Answers sent twice.
  double reportedLoad_ = -1; ///< Load reported; negative: the true one.
  int reportedReady_ = -1;   ///< Readiness reported; negative: the true.
  std::string crashMarker_ = "CRASH-ME"; ///< Bodies with it crash a server.
  Millis crash_{ 1000 }; ///< Time that a crashed server is gone.
};

/** One request in a server. */
struct FarmRequest
{
  HttpRequest request_;
  HttpRespond respond_;
  bool isOrder_ = false;
  Clock::time_point deadline_ = Clock::time_point::max();
  std::unique_ptr<boost::asio::steady_timer> timer_; ///< While it runs.
  std::uint64_t id_ = 0;                             ///< Unique in its farm.
};

/** Figures of one server since the last reset. */
struct FarmServerStats
{
  std::uint64_t open_ = 0;    ///< Connections now.
  std::uint64_t peak_ = 0;    ///< Largest number of connections.
  std::uint64_t overCap_ = 0; ///< Connections refused at the cap.
  std::uint64_t accepted_ = 0;
  std::uint64_t queries_ = 0; ///< Queries that began to run.
  std::uint64_t orders_ = 0;  ///< Orders that began to run.
  std::uint64_t refused_ = 0; ///< Requests answered as not run.
  std::uint64_t cancelled_ = 0;
  std::uint64_t expired_ = 0; ///< Stopped at their deadline.
  std::uint64_t crashes_ = 0;
  std::uint64_t health_ = 0;     ///< Calls of the health endpoint.
  std::uint64_t afterDrain_ = 0; ///< Requests 2 s or later after the drain.
  double busyMs_ = 0;            ///< Service time given.
};

/** One run of an order. */
struct OrderRun
{
  std::string server_;
  std::int64_t unixMicros_ = 0; ///< When it began.
  std::uint64_t bodyHash_ = 0;
};

struct ServerFarm;

/** One server. */
struct FarmServer
{
  ServerFarm* farm_ = nullptr;
  FarmServerSpec spec_;
  Behaviour behaviour_;
  FarmServerStats serverStats_;
  std::list<FarmRequest> running_;
  std::list<FarmRequest> waiting_;
  Clock::time_point started_ = Clock::now();
  Clock::time_point drained_ = Clock::time_point::max();
  bool isDown_ = false; ///< Held down by an admin.
  std::unique_ptr<boost::asio::steady_timer> restart_;
  std::unique_ptr<HttpListener> listener_;
};

/** All servers of the process and a record of every order run. */
struct ServerFarm
{
  /**
   * Start the servers of a configuration; throws for a faulty one.
   * @param aConfig See tools/testbed.py for its form.
   */
  ServerFarm(boost::asio::io_context& aContext,
             const boost::json::object& aConfig);

  boost::asio::io_context& context_;
  std::mt19937_64 rng_;
  std::vector<std::unique_ptr<FarmServer>> servers_;
  std::map<std::string, std::vector<OrderRun>> orders_; ///< By key.
  std::unique_ptr<HttpListener> admin_;
  std::uint64_t nextWork_ = 1; ///< Id of the next request.
};

/** Serve one request of a daemon. */
void
ServeFarmRequest(FarmServer& aServer,
                 const HttpRequest& aRequest,
                 const HttpRespond& aRespond);

/** Serve one admin call. */
HttpReply
ServeFarmAdmin(ServerFarm& aFarm, const HttpRequest& aRequest);

/** Change the behaviour by the fields that are there. */
void
SetBehaviour(FarmServer& aServer, const boost::json::object& aFields);

/** End all work and connections of a server, and refuse new ones. */
void
ShutDownServer(FarmServer& aServer);

/** Start a server that was down; it is cold again. */
void
StartServer(FarmServer& aServer);

/** Take a server down for a while. */
void
CrashServer(FarmServer& aServer);

/** Addresses in use, as printed on standard output. */
boost::json::object
FarmAddresses(const ServerFarm& aFarm);

} // namespace camphorfield::standin

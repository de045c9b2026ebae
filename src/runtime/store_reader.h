/** Reads the store's objects into local tables and keeps them up to date. */
#pragma once

#include "discovery/table_sync.h"
#include "runtime/http_client.h"
#include "runtime/worker.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace camphorfield {

/** Conversions to and from the store's protocol. */
struct StoreCodec
{
  HttpRequest (*encodeCall_)(const StoreCall& aCall);
  StoreReply (*decodeReply_)(const StoreCall& aCall,
                             const HttpExchange& aExchange,
                             std::string& aFault);
};

/** Called after each reply of the store, on the worker's thread. */
using TableHandler =
  std::function<void(std::size_t aTable, const TableChange& aChange)>;

/** Reads several kinds of objects; one connection and one fiber each. */
class StoreReader
{
public:
  /**
   * @param aWorker Runs the fibers; all calls are on its thread.
   * @param aAccount Of replies while they are read; null: not counted.
   * @param aAddress "IP:port" of the store.
   * @param aKinds Kinds of objects, one table each.
   */
  StoreReader(Worker& aWorker,
              MemoryAccount* aAccount,
              StoreCodec aCodec,
              std::string aAddress,
              const std::vector<std::string>& aKinds,
              TableHandler aHandler);

  /** Starts the fibers. */
  void Start();

  TableSync& Table(std::size_t aTable);

  /** Number of tables. */
  std::size_t Count() const;

  /** Aborts pending calls, after which all tables are read whole on new
   * connections. */
  void Restart();

  /** Calls made so far. */
  std::uint64_t Calls() const;

  /** Values in the store's replies that could not be read. */
  std::uint64_t UnreadableValues() const;

private:
  std::shared_ptr<struct StoreReaderState> state_;
};

} // namespace camphorfield

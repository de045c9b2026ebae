/** Keeps copies of the store's objects by calls in fibers. */
#pragma once

#include "discovery/table_sync.h"
#include "runtime/http_client.h"
#include "runtime/worker.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace camphorfield {

/** Functions of the adapter to the store's protocol. */
struct StoreCodec
{
  HttpRequest (*encodeCall_)(const StoreCall& aCall);
  StoreReply (*decodeReply_)(const StoreCall& aCall,
                             const HttpExchange& aExchange,
                             std::string& aFault);
};

/** Told of each change of a table, on the worker's thread. */
using TableHandler =
  std::function<void(std::size_t aTable, const TableChange& aChange)>;

/** Reads several kinds of objects; one connection and one fiber each. */
class StoreReader
{
public:
  /**
   * @param aWorker Runs the fibers; all calls are on its thread.
   * @param aAddress "IP:port" of the store.
   * @param aKinds Kinds of objects, one table each.
   */
  StoreReader(Worker& aWorker,
              StoreCodec aCodec,
              std::string aAddress,
              const std::vector<std::string>& aKinds,
              TableHandler aHandler);

  /** Begins to read. */
  void Start();

  TableSync& Table(std::size_t aTable);

  /** Has all tables read whole at once, on new connections. */
  void Restart();

  /** Calls made so far. */
  std::uint64_t Calls() const;

private:
  std::shared_ptr<struct StoreReaderState> state_;
};

} // namespace camphorfield

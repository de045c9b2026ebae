/** Reads and writes the store's object of crash evidence. */
#pragma once

#include "gateway/crash/evidence_log.h"
#include "runtime/http_client.h"
#include "runtime/worker.h"

#include <functional>
#include <memory>
#include <string>

namespace camphorfield {

/** Conversions to and from the store's protocol. */
struct EvidenceCodec
{
  HttpRequest (*encodeCall_)(const EvidenceCall& aCall);
  EvidenceReply (*decodeReply_)(const EvidenceCall& aCall,
                                const HttpExchange& aExchange);
};

/** Makes the calls of an EvidenceLog, one at a time, in a fiber. */
class EvidenceStore
{
public:
  /**
   * @param aWorker Runs the fiber; all calls are on its thread.
   * @param aAddress "IP:port" of the store.
   * @param aEnabled Without it nothing is recorded, read or written.
   * @param aIsKeeper See NextEvidenceCall.
   * @param aHandler Gets evidence that this daemon did not know.
   */
  EvidenceStore(Worker& aWorker,
                MemoryAccount* aAccount,
                EvidenceCodec aCodec,
                std::string aAddress,
                bool aEnabled,
                std::function<bool()> aIsKeeper,
                std::function<void(const EvidenceItems&)> aHandler);

  /** Starts the fiber. */
  void Start();

  /** See RecordEvidence. */
  void Record(std::uint64_t aFingerprint,
              const CrashEvidence& aEvidence,
              bool aIsFinder);

  /** See RecheckEvidence. */
  void Recheck();

  const EvidenceLog& Log() const;

private:
  std::shared_ptr<struct EvidenceStoreState> state_;
};

} // namespace camphorfield

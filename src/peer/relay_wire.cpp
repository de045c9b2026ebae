// Converts sub-requests that are relayed through home daemons, and their
// answers. An answer without a status is refused, so that it is not taken for
// success.
#include "peer/wire_internal.h"

namespace camphorfield {

namespace {

wire::RelayedSub
SubToWire(const RelayedSub& aSub)
{
  const SubRequest& request = aSub.request_;
  wire::RelayedSub out;
  out.__set_id(IdToWire(request.id_));
  out.__set_connection(IdToWire(request.connection_));
  out.__set_kind(static_cast<std::int16_t>(request.kind_));
  out.__set_serviceName(request.service_);
  out.__set_shard(request.shard_);
  out.__set_version(IdToWire(request.version_));
  out.__set_key(request.key_);
  out.__set_cancels(IdToWire(request.cancels_));
  if (request.body_) {
    out.__set_body(*request.body_);
  }
  out.__set_server(aSub.server_);
  out.__set_remainingMicros(aSub.remaining_.count());
  out.__set_fingerprint(IdToWire(aSub.fingerprint_));
  return out;
}

RelayedSub
SubFromWire(const wire::RelayedSub& aWire)
{
  RelayedSub out;
  SubRequest& request = out.request_;
  IdFromWire(aWire.id, request.id_);
  IdFromWire(aWire.connection, request.connection_);
  request.kind_ = EnumFromWire<SubKind>(aWire.kind);
  request.service_ = aWire.serviceName;
  request.shard_ = aWire.shard;
  IdFromWire(aWire.version, request.version_);
  request.key_ = aWire.key;
  IdFromWire(aWire.cancels, request.cancels_);
  if (aWire.__isset.body) {
    request.body_ = std::make_shared<const std::string>(aWire.body);
  }
  out.server_ = aWire.server;
  out.remaining_ = Duration(aWire.remainingMicros);
  IdFromWire(aWire.fingerprint, out.fingerprint_);
  return out;
}

wire::RelayedAnswer
AnswerToWire(const SubAnswer& aAnswer)
{
  wire::RelayedAnswer out;
  out.__set_id(IdToWire(aAnswer.id_));
  out.__set_connection(IdToWire(aAnswer.connection_));
  out.__set_status(static_cast<std::int16_t>(aAnswer.status_));
  out.__set_statedId(IdToWire(aAnswer.statedId_));
  out.__set_statedShard(aAnswer.statedShard_);
  out.__set_statedVersion(IdToWire(aAnswer.statedVersion_));
  out.__set_draining(aAnswer.draining_);
  out.__set_closing(aAnswer.closing_);
  out.__set_load(aAnswer.load_);
  std::vector<std::int64_t> versions;
  versions.reserve(aAnswer.versions_.size());
  for (const SnapshotVersion version : aAnswer.versions_) {
    versions.push_back(IdToWire(version));
  }
  if (!versions.empty()) {
    out.__set_versions(versions);
  }
  if (aAnswer.body_) {
    out.__set_body(*aAnswer.body_);
  }
  return out;
}

SubAnswer
AnswerFromWire(const wire::RelayedAnswer& aWire)
{
  // A missing status would decode as a complete answer.
  if (!aWire.__isset.status) {
    throw WireError("a sub-answer lacks its status");
  }
  SubAnswer out;
  IdFromWire(aWire.id, out.id_);
  IdFromWire(aWire.connection, out.connection_);
  out.status_ = EnumFromWire<SubStatus>(aWire.status);
  IdFromWire(aWire.statedId, out.statedId_);
  out.statedShard_ = aWire.statedShard;
  IdFromWire(aWire.statedVersion, out.statedVersion_);
  out.draining_ = aWire.draining;
  out.closing_ = aWire.closing;
  if (aWire.__isset.load) {
    out.load_ = aWire.load;
  }
  out.versions_.resize(aWire.versions.size());
  for (std::size_t i = 0; i < aWire.versions.size(); ++i) {
    IdFromWire(aWire.versions[i], out.versions_[i]);
  }
  if (aWire.__isset.body) {
    out.body_ = std::make_shared<const std::string>(aWire.body);
  }
  return out;
}

} // namespace

wire::RelayBatch
RelayBatchToWire(const RelayBatch& aBatch)
{
  wire::RelayBatch out;
  out.__set_call(IdToWire(aBatch.call_));
  out.__isset.subs = true;
  out.subs.reserve(aBatch.subs_.size());
  for (const RelayedSub& sub : aBatch.subs_) {
    out.subs.push_back(SubToWire(sub));
  }
  return out;
}

RelayBatch
RelayBatchFromWire(const wire::RelayBatch& aWire)
{
  RelayBatch out;
  IdFromWire(aWire.call, out.call_);
  out.subs_.reserve(aWire.subs.size());
  for (const wire::RelayedSub& sub : aWire.subs) {
    out.subs_.push_back(SubFromWire(sub));
  }
  return out;
}

wire::RelayAnswers
RelayAnswersToWire(const RelayAnswers& aAnswers)
{
  wire::RelayAnswers out;
  out.__set_call(IdToWire(aAnswers.call_));
  out.__isset.answers = true;
  out.answers.reserve(aAnswers.answers_.size());
  for (const SubAnswer& answer : aAnswers.answers_) {
    out.answers.push_back(AnswerToWire(answer));
  }
  return out;
}

RelayAnswers
RelayAnswersFromWire(const wire::RelayAnswers& aWire)
{
  RelayAnswers out;
  IdFromWire(aWire.call, out.call_);
  out.answers_.reserve(aWire.answers.size());
  for (const wire::RelayedAnswer& answer : aWire.answers) {
    out.answers_.push_back(AnswerFromWire(answer));
  }
  return out;
}

} // namespace camphorfield

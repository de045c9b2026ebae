#include "gateway/directory.h"

namespace camphorfield {

EntriesAnswer
ListFronts(const std::vector<MemberRecord>& aMembers)
{
  EntriesAnswer answer;
  answer.keepFor_ = kDirectoryKeepFor;
  for (const MemberRecord& member : aMembers) {
    const bool listed = member.state_ == MemberState::Alive && member.ready_ &&
                        !member.callerAddress_.empty();
    if (listed && answer.entries_.size() < kDirectoryMost) {
      answer.entries_.push_back(
        { member.callerAddress_, member.failureDomain_, member.name_ });
    }
  }
  if (answer.entries_.empty()) {
    answer.code_ = ResultCode::NotReady;
  }
  return answer;
}

} // namespace camphorfield

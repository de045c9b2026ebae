/** Changes of documents that several tests of the decoders use. */
#pragma once

#include <CppUTest/TestHarness.h>
#include <string>

namespace camphorfield::test {

/** Replaces the first occurrence of a text that must be there. */
inline std::string
Replace(const std::string& aText,
        const std::string& aFrom,
        const std::string& aTo)
{
  std::string text = aText;
  const std::size_t at = text.find(aFrom);
  CHECK_TRUE(at != std::string::npos);
  text.replace(at, aFrom.size(), aTo);
  return text;
}

} // namespace camphorfield::test

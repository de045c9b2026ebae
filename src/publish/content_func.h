/** Encoding of generations for the store and for peers. */
#pragma once

#include "object/change_type.h"
#include "publish/publish_type.h"

#include <absl/status/statusor.h>
#include <string>
#include <string_view>

namespace camphorfield {

constexpr std::size_t kMaxHistory = 512;         ///< Entries of a pointer.
constexpr std::size_t kMaxPointerBytes = 196608; ///< Of an encoded pointer.
constexpr std::size_t kMaxTouched = 256; ///< Objects listed in an entry.
/** Larger only if a chunk holds a single larger object. */
constexpr std::size_t kMaxChunkBytes = 256UL * 1024;
/** Mean number of objects in a chunk: one name hash in so many ends one. */
constexpr std::uint64_t kMeanChunkObjects = 128;
/** Number of newest generations whose content is retained for rollbacks. */
constexpr std::size_t kRetainedGenerations = 32;

/** Newest entry of the history; an empty one when there is none. */
const HistoryEntry&
NewestEntry(const Pointer& aPointer);

/** Entry of a change id; null when the history doesn't hold it. */
const HistoryEntry*
FindChange(const Pointer& aPointer, std::string_view aChangeId);

/** Entry of a generation; null when the history doesn't hold it. */
const HistoryEntry*
FindGeneration(const Pointer& aPointer, Generation aGeneration);

/** Whether the content of an entry is still retained. */
bool
IsContentRetained(const Pointer& aPointer, const HistoryEntry& aEntry);

/** Drop the oldest entries beyond the limits of number and bytes. */
void
TrimHistory(Pointer& aPointer);

/** Encode a pointer. */
std::string
EncodePointer(const Pointer& aPointer);

/** Decode a pointer; InvalidArgument when the text is malformed. */
absl::StatusOr<Pointer>
DecodePointer(std::string_view aText);

/** Encode a manifest. */
std::string
EncodeManifest(const Manifest& aManifest);

/** Decode a manifest; InvalidArgument when the text is malformed. */
absl::StatusOr<Manifest>
DecodeManifest(std::string_view aText);

/** Digest of the chunks that a manifest lists, independent of their keys. */
std::string
ManifestDigest(const Manifest& aManifest);

/**
 * Split a set into chunks. Cuts depend on the object names, so that a change of
 * one object usually changes one chunk.
 * @return Encoded chunks, in the order of their objects.
 */
std::vector<std::string>
SplitIntoChunks(const ConfigSet& aSet);

/**
 * Decode new content, starting from a set that is decoded already. Only chunks
 * that differ are decoded.
 * @param aBase Content of aBaseSet.
 * @param aBaseSet Decoded set.
 * @param aNew Content to decode.
 * @return The new set. DataLoss when a chunk is missing; the error of
 *         DecodeConfigSet when one is malformed.
 */
absl::StatusOr<ConfigSet>
AssembleSet(const Content& aBase,
            const ConfigSet& aBaseSet,
            const Content& aNew);

/**
 * Encode content for a peer.
 * @param aContent Content to send.
 * @param aBase Manifest of a generation that the peer holds: its chunks and the
 *              history up to it are left out. Null to send everything.
 * @param aBaseGeneration Generation of aBase.
 */
std::string
EncodeBundle(const Content& aContent,
             const Manifest* aBase,
             Generation aBaseGeneration);

/**
 * Decode content from a peer and verify its digests.
 * @param aText Output of EncodeBundle.
 * @param aOwn Content in force here, which supplies the parts left out.
 * @return The content. InvalidArgument when the text is malformed, DataLoss
 *         when a chunk is missing or the manifest doesn't match its digest.
 */
absl::StatusOr<Content>
DecodeBundle(std::string_view aText, const Content& aOwn);

} // namespace camphorfield

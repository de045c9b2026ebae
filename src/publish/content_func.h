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
constexpr std::size_t kMaxTouched = 256;         ///< Objects listed by entry.
constexpr std::size_t kMaxChunkBytes = 256UL * 1024; ///< A larger object alone.
/** One object in so many ends a chunk, by the hash of its name. */
constexpr std::uint64_t kMeanChunkObjects = 128;
/** Generations whose content is kept for a rollback. */
constexpr std::size_t kRetainedGenerations = 32;

/** Newest entry; an empty one when there is none. */
const HistoryEntry&
NewestEntry(const Pointer& aPointer);

/** Entry of a change id; null when the history doesn't hold it. */
const HistoryEntry*
FindChange(const Pointer& aPointer, std::string_view aChangeId);

/** Entry of a generation; null when the history doesn't hold it. */
const HistoryEntry*
FindGeneration(const Pointer& aPointer, Generation aGeneration);

/** Whether the content of an entry is still kept. */
bool
IsContentRetained(const Pointer& aPointer, const HistoryEntry& aEntry);

/** Drop the oldest entries beyond the limits of number and bytes. */
void
TrimHistory(Pointer& aPointer);

/** Encode a pointer. */
std::string
EncodePointer(const Pointer& aPointer);

/** Decode a pointer; InvalidArgument when it isn't one. */
absl::StatusOr<Pointer>
DecodePointer(std::string_view aText);

/** Encode a manifest. */
std::string
EncodeManifest(const Manifest& aManifest);

/** Decode a manifest; InvalidArgument when it isn't one. */
absl::StatusOr<Manifest>
DecodeManifest(std::string_view aText);

/** Digest of the content that a manifest names, whatever its keys. */
std::string
ManifestDigest(const Manifest& aManifest);

/**
 * Cut a set into chunks. The cuts depend on names alone, so that a change of
 * one object changes one chunk.
 * @return Texts in order; their concatenated objects make the set.
 */
std::vector<std::string>
SplitIntoChunks(const ConfigSet& aSet);

/**
 * Set made by a manifest, starting from a set that is known already.
 * @param aBase Content of the known set.
 * @param aBaseSet The known set.
 * @param aNew Manifest with the text of every chunk.
 * @return The set, or DataLoss when a chunk is missing or unreadable.
 */
absl::StatusOr<ConfigSet>
AssembleSet(const Content& aBase,
            const ConfigSet& aBaseSet,
            const Content& aNew);

/**
 * Encode content for a peer.
 * @param aContent Everything.
 * @param aBase What the peer has: its generation's chunks and history are left
 *              out. Null: nothing.
 * @param aBaseGeneration Generation of aBase.
 */
std::string
EncodeBundle(const Content& aContent,
             const Manifest* aBase,
             Generation aBaseGeneration);

/**
 * Decode content from a peer, and verify every digest in it.
 * @param aText What EncodeBundle wrote.
 * @param aOwn Content in force here, which fills in what was left out.
 * @return DataLoss when something is missing or doesn't match its digest.
 */
absl::StatusOr<Content>
DecodeBundle(std::string_view aText, const Content& aOwn);

} // namespace camphorfield

#pragma once

#include "carobflow/core/sheet.h"
#include "carobflow/core/types.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Carobflow
{

/// The sheet that a shard's leader applies, and whether the leader may assign jobs under it.
class SheetView
{
public:
    SheetView(ShardId shard, std::uint32_t shardCount);

    /// Returns false, and changes nothing, for an older version.
    bool set(SheetVersion version, std::uint64_t rowVersion, std::shared_ptr<const Sheet> sheet);

    /// Records that another process applies this version: nothing is assigned under an older one.
    void seen(SheetVersion version);

    /// Records that a commit found the row sheet/current changed since this version: nothing is assigned under it. A
    /// newer sheet may have arrived while the commit was in flight.
    void markOutdated(std::uint64_t rowVersion);

    [[nodiscard]] bool mayAssign() const;
    [[nodiscard]] SheetVersion version() const;
    [[nodiscard]] std::uint64_t rowVersion() const;
    [[nodiscard]] const Sheet *sheet() const;
    [[nodiscard]] bool isInService(std::string_view dataCentre) const;

    /// The jobs of the sheet that belong to this shard.
    [[nodiscard]] const std::map<std::string_view, const JobSpec *> &listed() const;

private:
    ShardId m_shard = 0;
    std::uint32_t m_shardCount = 1;
    SheetVersion m_version = 0;
    SheetVersion m_newestSeen = 0;
    std::uint64_t m_rowVersion = 0;
    std::optional<std::uint64_t> m_outdatedRow;
    std::shared_ptr<const Sheet> m_sheet;
    std::map<std::string_view, const JobSpec *> m_listed;
};

} // namespace Carobflow

#pragma once

#include "carobflow/core/internal/csvlines.h"
#include "carobflow/core/internal/sheetfields.h"
#include "carobflow/core/sheet.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Carobflow
{

/// True for a comment, an empty line, and a line of empty fields only, which is how spreadsheet programs export empty
/// rows.
bool isSkippedLine(const CsvFields &fields);

/// Parses a sheet line by line and collects all faults.
class SheetParser
{
public:
    void addLine(const CsvLine &line);

    /// Runs the checks that need the whole sheet and returns the result.
    SheetParseResult finish(std::int64_t referenceUnixSeconds);

private:
    struct Kind;
    static std::span<const Kind> kinds();

    /// A job whose deadline depends on the time zone, which a later line may set.
    struct PendingJob {
        std::size_t index = 0;
        SheetFields::Deadline deadline;
    };

    struct TeamReference {
        std::string team;
        std::size_t line = 0;
        std::size_t column = 0;
    };

    void addTimeZone();
    void addDataCentre();
    void addService();
    void addTeam();
    void addJob();
    void addCheck();

    JobSpec commonJobFields();
    void addFault(std::size_t column, std::string message);
    [[nodiscard]] std::size_t columnOf(std::size_t field) const;
    [[nodiscard]] std::string_view valueOfField(std::size_t field) const;

    /// The value of a parsed field; on an error adds a fault and returns a default value.
    template<typename T>
    T valueOrFault(std::size_t field, Result<T> result);

    std::string parseUniqueName(std::size_t field, std::string_view lineType);
    std::int64_t parseInteger(std::size_t field, std::int64_t minimum, std::int64_t maximum);
    std::size_t parseChoice(std::size_t field, std::span<const std::string_view> choices);
    Resources parseResources(std::size_t firstField, std::int64_t minimum);

    Sheet m_sheet;
    std::vector<SheetFault> m_faults;
    std::int64_t m_zoneSeconds = 0;
    std::vector<PendingJob> m_pendingJobs;
    std::vector<TeamReference> m_teamReferences;
    /// Line number of each name, by line type and name.
    std::map<std::pair<std::string, std::string>, std::size_t> m_names;
    bool m_hasContent = false;

    // The line that is being parsed.
    CsvLine m_line;
    CsvFields m_fields;
    const Kind *m_kind = nullptr;
};

} // namespace Carobflow

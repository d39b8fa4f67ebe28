#include "carobflow/core/internal/sheetparser.h"

#include <algorithm>
#include <array>
#include <tuple>

namespace Carobflow
{

/// A line type: its name, the names of the fields that follow, and the member function that parses them.
struct SheetParser::Kind {
    std::string_view name;
    std::span<const std::string_view> fields;
    void (SheetParser::*add)();
};

namespace
{

using FieldName = std::string_view;

constexpr std::array<FieldName, 1> TimeZoneFields{"offset"};
constexpr std::array<FieldName, 2> DataCentreFields{"name", "in or out"};
constexpr std::array<FieldName, 5> ServiceFields{"name", "deadline_ms", "target_ratio", "idempotent", "objective"};
constexpr std::array<FieldName, 4> TeamFields{"name", "cpu_millis", "memory_mib", "accelerators"};
constexpr std::array<FieldName, 9> JobFields{
    "id", "team", "class", "cpu_millis", "memory_mib", "accelerators", "run_seconds", "deadline", "normal or urgent"};
constexpr std::array<FieldName, 7> CheckFields{
    "id", "team", "class", "cpu_millis", "memory_mib", "accelerators", "run_seconds"};

// A request ends at its deadline at the latest, which must be below the 30 s limit of a graceful shutdown.
constexpr std::int64_t MaxDeadlineMs = 25000;
// Far above the capacity of any host, because a job that fits no host is reported as unrunnable and not as a fault of
// the sheet. Sums over a day's jobs stay far below 2^63.
constexpr std::int64_t MaxCpuMillis = 1'000'000'000;
constexpr std::int64_t MaxMemoryMiB = 10'000'000'000;
constexpr std::int64_t MaxAccelerators = 1'000'000;
constexpr std::int64_t MaxRunSeconds = std::int64_t{30} * 86400;

constexpr std::string_view JobOrCheck = "job or check";

} // namespace

std::span<const SheetParser::Kind> SheetParser::kinds()
{
    static constexpr std::array<Kind, 6> All{{
        {"timezone", TimeZoneFields, &SheetParser::addTimeZone},
        {"datacentre", DataCentreFields, &SheetParser::addDataCentre},
        {"service", ServiceFields, &SheetParser::addService},
        {"team", TeamFields, &SheetParser::addTeam},
        {"job", JobFields, &SheetParser::addJob},
        {"check", CheckFields, &SheetParser::addCheck},
    }};
    return All;
}

bool isSkippedLine(const CsvFields &fields)
{
    return std::ranges::all_of(fields.fields, [](const CsvField &field) { return field.value.empty(); })
        || fields.fields.front().value.starts_with('#');
}

void SheetParser::addLine(const CsvLine &line)
{
    m_line = line;
    m_fields = {};
    m_kind = nullptr;
    if (const auto offset = SheetFields::findInvalidUtf8(line.text)) {
        m_hasContent = true;
        addFault(csvColumn(line.text, *offset),
                 "the text has a byte here that is not valid UTF-8, or a NUL byte; export the sheet as UTF-8");
        return;
    }
    if (line.text.starts_with('#')) {
        return;
    }
    m_fields = csvFields(line.text);
    if (m_fields.fault) {
        m_hasContent = true;
        addFault(csvColumn(line.text, m_fields.fault->offset), m_fields.fault->message);
        return;
    }
    if (isSkippedLine(m_fields)) {
        return;
    }
    m_hasContent = true;

    auto &fields = m_fields.fields;
    const std::string_view kindName = fields.front().value;
    const auto all = kinds();
    const auto kind = std::ranges::find(all, kindName, &Kind::name);
    if (kind == all.end()) {
        const bool semicolons = kindName.find(';') != std::string_view::npos;
        addFault(columnOf(0),
                 semicolons ? "the fields are separated by semicolons; export the sheet with commas"
                            : "'" + std::string(kindName.substr(0, 40))
                         + "' is not a line type; write timezone, datacentre, service, team, job or check");
        return;
    }
    m_kind = &*kind;
    const std::size_t expected = kind->fields.size() + 1;
    // Spreadsheet programs pad short rows with empty fields.
    while (fields.size() > expected && fields.back().value.empty()) {
        fields.pop_back();
    }
    if (fields.size() != expected) {
        std::string list(kind->name);
        for (const std::string_view field : kind->fields) {
            list += "," + std::string(field);
        }
        const bool missing = fields.size() < expected;
        addFault(missing ? csvColumn(line.text, line.text.size()) : columnOf(expected),
                 "the line has " + std::to_string(fields.size()) + " fields but a " + std::string(kind->name)
                     + " line needs " + std::to_string(expected) + "; write " + list);
        return;
    }
    (this->*kind->add)();
}

SheetParseResult SheetParser::finish(std::int64_t referenceUnixSeconds)
{
    if (!m_hasContent) {
        m_faults.push_back(
            {.line = 1,
             .column = 1,
             .message = "the sheet has no lines, and would cancel all jobs; write at least one line, such as "
                        "datacentre,<name>,in"});
    }
    for (const TeamReference &reference : m_teamReferences) {
        if (!m_names.contains({"team", reference.team})) {
            m_faults.push_back({.line = reference.line,
                                .column = reference.column,
                                .message = "team: '" + reference.team + "' is not listed; write the name of a team "
                                    + "line, or add the line team," + reference.team
                                    + ",<cpu_millis>,<memory_mib>,<accelerators>"});
        }
    }
    if (!m_faults.empty()) {
        std::ranges::stable_sort(
            m_faults, {}, [](const SheetFault &fault) { return std::tuple(fault.line, fault.column); });
        return std::move(m_faults);
    }
    for (const PendingJob &job : m_pendingJobs) {
        m_sheet.jobs[job.index].deadlineUnixSeconds = SheetFields::deadlineUnixSeconds(
            job.deadline, referenceUnixSeconds, m_zoneSeconds);
    }
    return std::move(m_sheet);
}

void SheetParser::addTimeZone()
{
    const auto [first, isNew] = m_names.try_emplace({"timezone", ""}, m_line.number);
    if (!isNew) {
        addFault(columnOf(0),
                 "the time zone is already given in line " + std::to_string(first->second) + "; remove one of the two");
        return;
    }
    m_zoneSeconds = valueOrFault(1, SheetFields::timeZone(valueOfField(1)));
}

void SheetParser::addDataCentre()
{
    static constexpr std::array<std::string_view, 2> States{"in", "out"};
    DataCentreEntry entry;
    entry.name = parseUniqueName(1, "datacentre");
    entry.inService = parseChoice(2, States) == 0;
    m_sheet.dataCentres.push_back(std::move(entry));
}

void SheetParser::addService()
{
    static constexpr std::array<std::string_view, 2> YesNo{"yes", "no"};
    static constexpr std::array<std::string_view, 2> Objectives{"latency", "throughput"};
    ServiceEntry entry;
    entry.name = parseUniqueName(1, "service");
    entry.deadline = Milliseconds(parseInteger(2, 1, MaxDeadlineMs));
    entry.targetRatio = valueOrFault(3, SheetFields::ratio(valueOfField(3)));
    entry.idempotent = parseChoice(4, YesNo) == 0;
    entry.objective = parseChoice(5, Objectives) == 0 ? Objective::Latency : Objective::Throughput;
    m_sheet.services.push_back(std::move(entry));
}

void SheetParser::addTeam()
{
    TeamEntry entry;
    entry.name = parseUniqueName(1, "team");
    entry.quota = parseResources(2, 0);
    m_sheet.teams.push_back(std::move(entry));
}

void SheetParser::addJob()
{
    static constexpr std::array<std::string_view, 2> Urgencies{"normal", "urgent"};
    JobSpec job = commonJobFields();
    job.kind = JobKind::Batch;
    m_pendingJobs.push_back(
        {.index = m_sheet.jobs.size(), .deadline = valueOrFault(8, SheetFields::deadline(valueOfField(8)))});
    job.urgency = parseChoice(9, Urgencies) == 0 ? Urgency::Normal : Urgency::Urgent;
    m_sheet.jobs.push_back(std::move(job));
}

void SheetParser::addCheck()
{
    JobSpec job = commonJobFields();
    job.kind = JobKind::Check;
    m_sheet.jobs.push_back(std::move(job));
}

JobSpec SheetParser::commonJobFields()
{
    JobSpec job;
    job.fromSheet = true;
    job.id = parseUniqueName(1, JobOrCheck);
    job.team = valueOrFault(2, SheetFields::name(valueOfField(2)));
    if (!job.team.empty()) {
        m_teamReferences.push_back({.team = job.team, .line = m_line.number, .column = columnOf(2)});
    }
    job.jobClass = valueOrFault(3, SheetFields::name(valueOfField(3)));
    job.declared = parseResources(4, 1);
    job.runSeconds = parseInteger(7, 1, MaxRunSeconds);
    return job;
}

void SheetParser::addFault(std::size_t column, std::string message)
{
    m_faults.push_back({.line = m_line.number, .column = column, .message = std::move(message)});
}

std::size_t SheetParser::columnOf(std::size_t field) const
{
    return csvColumn(m_line.text, m_fields.fields[field].offset);
}

std::string_view SheetParser::valueOfField(std::size_t field) const
{
    return m_fields.fields[field].value;
}

template<typename T>
T SheetParser::valueOrFault(std::size_t field, Result<T> result)
{
    if (isOk(result)) {
        return takeValue(std::move(result));
    }
    addFault(columnOf(field), std::string(m_kind->fields[field - 1]) + ": " + errorOf(result).message);
    return {};
}

std::string SheetParser::parseUniqueName(std::size_t field, std::string_view lineType)
{
    std::string name = valueOrFault(field, SheetFields::name(valueOfField(field)));
    if (!name.empty()) {
        const auto [first, isNew] = m_names.try_emplace({std::string(lineType), name}, m_line.number);
        if (!isNew) {
            addFault(columnOf(field),
                     std::string(lineType) + " '" + name + "' is already listed in line "
                         + std::to_string(first->second) + "; remove one of the two or write another name");
        }
    }
    return name;
}

std::int64_t SheetParser::parseInteger(std::size_t field, std::int64_t minimum, std::int64_t maximum)
{
    return valueOrFault(field, SheetFields::integer(valueOfField(field), minimum, maximum));
}

std::size_t SheetParser::parseChoice(std::size_t field, std::span<const std::string_view> choices)
{
    return valueOrFault(field, SheetFields::choice(valueOfField(field), choices));
}

Resources SheetParser::parseResources(std::size_t firstField, std::int64_t minimum)
{
    return {.cpuMillis = parseInteger(firstField, minimum, MaxCpuMillis),
            .memoryMiB = parseInteger(firstField + 1, minimum, MaxMemoryMiB),
            .accelerators = parseInteger(firstField + 2, 0, MaxAccelerators)};
}

} // namespace Carobflow

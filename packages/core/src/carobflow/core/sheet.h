#pragma once

#include "carobflow/core/result.h"
#include "carobflow/core/types.h"

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Carobflow
{

/// A fault in the text of a sheet. Lines and columns count from 1; the message says what to write instead.
struct SheetFault {
    std::size_t line = 0;
    std::size_t column = 0;
    std::string message;
};

struct DataCentreEntry {
    std::string name;
    bool inService = true;

    bool operator==(const DataCentreEntry &) const = default;
};

/// The optimisation goal for a service: the tail latency of its requests, or the throughput of the batch jobs on its
/// hosts.
enum class Objective { Latency, Throughput };

struct ServiceEntry {
    std::string name;
    /// The time within which a request must be answered.
    Milliseconds deadline{0};
    /// The share of requests that must be answered within the deadline, between 0 and 1.
    double targetRatio = 0;
    bool idempotent = false;
    Objective objective = Objective::Latency;

    bool operator==(const ServiceEntry &) const = default;
};

struct TeamEntry {
    std::string name;
    Resources quota;

    bool operator==(const TeamEntry &) const = default;
};

/// The content of a sheet that passed all checks.
struct Sheet {
    std::vector<DataCentreEntry> dataCentres;
    std::vector<ServiceEntry> services;
    std::vector<TeamEntry> teams;
    /// Batch jobs and checks in the order of the sheet, all with `fromSheet` set.
    std::vector<JobSpec> jobs;

    /// The entry of the service, or null when the sheet does not list it.
    [[nodiscard]] const ServiceEntry *findService(std::string_view name) const;

    [[nodiscard]] const TeamEntry *findTeam(std::string_view name) const;

    /// False only when the sheet lists the data centre as out of service.
    [[nodiscard]] bool isInService(std::string_view dataCentre) const;
};

using SheetParseResult = std::variant<Sheet, std::vector<SheetFault>>;

/// Parses and checks a whole sheet and reports every fault. Deadlines are relative to `referenceUnixSeconds`.
SheetParseResult parseSheet(std::string_view text, std::int64_t referenceUnixSeconds);

/// The text of a sheet with one data centre set in or out of service and everything else unchanged. Errors: NotFound
/// when the sheet does not list the data centre.
Result<std::string> withDataCentre(std::string_view text, std::string_view dataCentre, bool inService);

/// SHA-256 of the text in hexadecimal.
std::string sheetDigest(std::string_view text);

} // namespace Carobflow

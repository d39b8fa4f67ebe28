#pragma once

#include "carobflow/client/clientsettings.h"
#include "carobflow/client/entryclient.h"
#include "carobflow/client/exitcode.h"
#include "carobflow/client/internal/commandline.h"
#include "carobflow/client/internal/jsonview.h"

#include <functional>
#include <iosfwd>
#include <optional>
#include <string>

#include <boost/json/value.hpp>

namespace Carobflow
{

/// Carries out one command: builds the request, sends it and prints the reply. Results go to `out`, messages to `err`.
class Commands
{
public:
    Commands(const CommandCall &call, const ClientSettings &settings, std::ostream &out, std::ostream &err);

    ExitCode sheetCheck() const;
    ExitCode sheetApply() const;
    ExitCode sheetShow() const;
    ExitCode sheetHistory() const;
    ExitCode dataCentreOut() const;
    ExitCode dataCentreIn() const;
    ExitCode jobSubmit() const;
    ExitCode jobCancel() const;
    ExitCode jobStatus() const;
    ExitCode upstreamList() const;
    ExitCode upstreamDrain() const;
    ExitCode reportBurn() const;
    ExitCode reportJobs() const;
    ExitCode reportPlacement() const;

private:
    using PrintReply = std::function<void(const boost::json::value &)>;

    /// Sends the request and gives the reply, which is printed for --json, or reports the failure. `file` is named in
    /// the faults of a sheet.
    [[nodiscard]] std::variant<boost::json::value, ExitCode> fetch(const EntryRequest &request,
                                                                   const std::string &file = {}) const;
    /// Fetches the reply and prints it unless --json did.
    ExitCode call(const EntryRequest &request, const PrintReply &print, const std::string &file = {}) const;
    ExitCode setDataCentre(const std::string &state) const;
    void addSheetHeaders(EntryRequest &request) const;
    void printVersion(const boost::json::value &reply) const;
    void printJobState(const boost::json::value &reply) const;
    ExitCode reportFailure(const EntryReply &reply, const std::string &file) const;
    ExitCode reportError(const Error &error) const;
    ExitCode usage(const std::string &message) const;

    [[nodiscard]] bool has(const std::string &option) const;
    [[nodiscard]] std::string text(const std::string &option) const;
    [[nodiscard]] std::uint64_t number(const std::string &option) const;

    const CommandCall &m_call;
    const ClientSettings &m_settings;
    std::ostream &m_out;
    std::ostream &m_err;
};

} // namespace Carobflow

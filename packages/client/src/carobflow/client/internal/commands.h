#pragma once

#include "carobflow/client/clientsettings.h"
#include "carobflow/client/exitcode.h"
#include "carobflow/client/internal/commandline.h"
#include "carobflow/client/internal/exchange.h"

#include <iosfwd>
#include <string>

#include <boost/json/value.hpp>

namespace Carobflow
{

/// Runs one command: builds the request and prints the reply. Results go to `out`, messages to `err`.
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
    ExitCode setDataCentre(const std::string &state) const;
    void addSheetHeaders(EntryRequest &request) const;
    void printVersion(const boost::json::value &reply) const;
    void printJobState(const boost::json::value &reply) const;

    Exchange m_exchange;
    const CommandCall &m_call;
    const ClientSettings &m_settings;
    std::ostream &m_out;
    std::ostream &m_err;
};

} // namespace Carobflow

#pragma once

#include "carobflow/client/clientsettings.h"
#include "carobflow/client/entryclient.h"
#include "carobflow/client/exitcode.h"
#include "carobflow/client/internal/commandline.h"
#include "carobflow/client/internal/jsonview.h"

#include <functional>
#include <iosfwd>
#include <string>
#include <variant>

#include <boost/json/value.hpp>

namespace Carobflow
{

/// Sends the requests of a command to an entry and reports failures together with a remedy. Results go to `out`,
/// messages to `err`.
class Exchange
{
public:
    using PrintReply = std::function<void(const boost::json::value &)>;

    /// All arguments must outlive this object.
    Exchange(const CommandCall &call, const ClientSettings &settings, std::ostream &out, std::ostream &err);

    /// Sends the request and returns the reply, or reports the failure. With --json the reply is printed. `file` is the
    /// file name reported with the faults of a sheet.
    [[nodiscard]] std::variant<boost::json::value, ExitCode> fetch(const EntryRequest &request,
                                                                   const std::string &file = {}) const;
    /// Fetches the reply and prints it with `print` unless --json is given.
    ExitCode call(const EntryRequest &request, const PrintReply &print, const std::string &file = {}) const;
    /// Reports incorrect usage of the command.
    ExitCode usage(const std::string &message) const;
    /// Formats a fault of a sheet with file, line and column.
    static std::string formatFault(const std::string &file, const boost::json::value &fault);

    [[nodiscard]] bool has(const std::string &option) const;
    [[nodiscard]] std::string text(const std::string &option) const;
    /// Value of a numeric option, which command-line parsing has validated.
    [[nodiscard]] std::uint64_t number(const std::string &option) const;

private:
    ExitCode reportFailure(const EntryReply &reply, const std::string &file) const;
    ExitCode reportError(const Error &error) const;

    const CommandCall &m_call;
    const ClientSettings &m_settings;
    std::ostream &m_out;
    std::ostream &m_err;
};

} // namespace Carobflow

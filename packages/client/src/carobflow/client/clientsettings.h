#pragma once

#include "carobflow/client/entryclient.h"
#include "carobflow/core/result.h"

#include <string>

namespace Carobflow
{

/// Settings of the client, from the settings file and the command line.
struct ClientSettings {
    EntryClient::Options entry;
    /// Recorded in the history of the sheet with each change; may be empty.
    std::string author;
};

/// Reads the section [client] of an INI file with the keys entry (may be repeated, or a comma-separated list), token,
/// author, timeout_ms and connect_timeout_ms. An error names the file, section and key, what was expected and how to
/// correct it.
Result<ClientSettings> readClientSettings(const std::string &file);

/// Checks that a value can be sent as an HTTP header: it must not contain control characters. `what` names the value in
/// the error.
Status checkHeaderText(std::string_view what, std::string_view text);

} // namespace Carobflow

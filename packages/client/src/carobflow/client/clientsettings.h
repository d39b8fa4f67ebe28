#pragma once

#include "carobflow/client/entryclient.h"
#include "carobflow/core/result.h"

#include <string>

namespace Carobflow
{

/// What a run of the client needs besides its command, from the settings file and the arguments.
struct ClientSettings {
    EntryClient::Options entry;
    /// Recorded with changes of the sheet; may be empty.
    std::string author;
};

/// Reads the section [client] of an INI file with the keys entry (may be repeated, or a list with commas), token,
/// author, timeout_ms and connect_timeout_ms. An error names file, section and key, what was expected and what to write
/// instead.
Result<ClientSettings> readClientSettings(const std::string &file);

/// Checks a value that is sent as an HTTP header.
Status checkHeaderText(std::string_view what, std::string_view text);

} // namespace Carobflow

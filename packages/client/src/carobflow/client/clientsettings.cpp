#include "carobflow/client/clientsettings.h"

#include <algorithm>
#include <array>
#include <charconv>

#include <INIReader.h>
#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <ini.h>

namespace Carobflow
{

namespace
{

constexpr const char *Section = "client";
constexpr std::array<std::string_view, 5> Keys{"entry", "token", "author", "timeout_ms", "connect_timeout_ms"};
constexpr std::int64_t MaxTimeoutMs = 600'000;

Error settingsError(const std::string &file, std::string_view section, std::string_view key, const std::string &message)
{
    return {.kind = ErrorKind::InvalidArgument,
            .message = file + ": section [" + std::string(section) + "], key '" + std::string(key) + "': " + message};
}

/// The first unknown key of the settings file.
struct UnknownKey {
    std::string section;
    std::string key;
    bool found = false;
};

int findUnknownKey(void *user, const char *section, const char *name, const char * /*value*/)
{
    auto &unknown = *static_cast<UnknownKey *>(user);
    if (!unknown.found && (std::string_view(section) != Section || std::ranges::find(Keys, name) == Keys.end())) {
        unknown = {.section = section, .key = name, .found = true};
    }
    return 1;
}

Result<Milliseconds>
readTimeout(const INIReader &reader, const std::string &file, const char *key, Milliseconds defaultValue)
{
    if (!reader.HasValue(Section, key)) {
        return defaultValue;
    }
    const std::string text = reader.Get(Section, key, "");
    std::int64_t value = 0;
    const char *const end = text.data() + text.size();
    const auto [parsedTo, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc() || parsedTo != end || value < 1 || value > MaxTimeoutMs) {
        return settingsError(file,
                             Section,
                             key,
                             "expected milliseconds, got '" + text + "'; write a whole number from 1 to "
                                 + std::to_string(MaxTimeoutMs));
    }
    return Milliseconds(value);
}

} // namespace

Result<ClientSettings> readClientSettings(const std::string &file)
{
    const INIReader reader(file);
    if (reader.ParseError() < 0) {
        return Error{.kind = ErrorKind::InvalidArgument,
                     .message = file + ": cannot read the file; write the path of a settings file"};
    }
    if (reader.ParseError() > 0) {
        return Error{.kind = ErrorKind::InvalidArgument,
                     .message = file + ":" + std::to_string(reader.ParseError())
                         + ": expected a section or key; write [client] or key = value"};
    }
    // INIReader cannot list its keys, so the underlying parser is used.
    UnknownKey unknown;
    ini_parse(file.c_str(), findUnknownKey, &unknown);
    if (unknown.found) {
        std::string known;
        for (const std::string_view key : Keys) {
            known += (known.empty() ? "" : ", ") + std::string(key);
        }
        return settingsError(
            file, unknown.section, unknown.key, "unknown key; write one of " + known + " in section [client]");
    }

    ClientSettings settings;
    // INIReader joins the values of a repeated key with newlines.
    std::vector<std::string> entries;
    const std::string entryList = reader.Get(Section, "entry", "");
    boost::algorithm::split(
        entries, entryList, boost::algorithm::is_any_of(", \n"), boost::algorithm::token_compress_on);
    for (const std::string &text : entries) {
        if (text.empty()) {
            continue;
        }
        auto entry = parseEntryAddress(text);
        if (!isOk(entry)) {
            return settingsError(file, Section, "entry", errorOf(entry).message);
        }
        settings.entry.entries.push_back(takeValue(std::move(entry)));
    }
    settings.entry.token = reader.Get(Section, "token", "");
    settings.author = reader.Get(Section, "author", "");
    for (const auto &[key, text] : {std::pair("token", settings.entry.token), std::pair("author", settings.author)}) {
        if (const Status status = checkHeaderText("the value", text); !isOk(status)) {
            return settingsError(file, Section, key, errorOf(status).message);
        }
    }
    for (const auto &[key, member] : {std::pair("timeout_ms", &EntryClient::Options::timeout),
                                      std::pair("connect_timeout_ms", &EntryClient::Options::connectTimeout)}) {
        const auto timeout = readTimeout(reader, file, key, settings.entry.*member);
        if (!isOk(timeout)) {
            return errorOf(timeout);
        }
        settings.entry.*member = valueOf(timeout);
    }
    return settings;
}

Status checkHeaderText(std::string_view what, std::string_view text)
{
    const bool hasControl = std::ranges::any_of(
        text, [](char byte) { return static_cast<unsigned char>(byte) < 0x20U || byte == '\x7F'; });
    if (hasControl) {
        return Error{.kind = ErrorKind::InvalidArgument,
                     .message = std::string(what)
                         + " contains a line break or control character; write it once and on one line"};
    }
    return std::monostate{};
}

} // namespace Carobflow

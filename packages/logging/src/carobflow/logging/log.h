#pragma once

#include <concepts>
#include <sstream>
#include <string>
#include <string_view>

namespace Carobflow
{

enum class LogLevel { Debug, Info, Warning, Error };

/// Sets the process name in each log line and the lowest level that is written to standard output.
void configureLog(std::string_view process, LogLevel lowest);

/// Builds one log line of key=value pairs and writes it when it goes out of scope. Values that contain spaces,
/// quotes or control characters are quoted.
class LogLine
{
public:
    LogLine(LogLevel level, std::string_view event);
    ~LogLine();
    LogLine(const LogLine &) = delete;
    LogLine &operator=(const LogLine &) = delete;

    LogLine &with(std::string_view key, std::string_view value);

    LogLine &with(std::string_view key, const char *value)
    {
        return with(key, std::string_view(value));
    }

    LogLine &with(std::string_view key, const std::string &value)
    {
        return with(key, std::string_view(value));
    }

    template<typename Number>
    requires std::integral<Number> || std::floating_point<Number> LogLine &with(std::string_view key, Number value)
    {
        std::ostringstream text;
        text << std::boolalpha << value;
        return with(key, std::string_view(text.str()));
    }

private:
    LogLevel m_level;
    bool m_enabled;
    std::string m_text;
};

LogLine logDebug(std::string_view event);
LogLine logInfo(std::string_view event);
LogLine logWarning(std::string_view event);
LogLine logError(std::string_view event);

} // namespace Carobflow

#pragma once

#include <chrono>
#include <cstdint>
#include <streambuf>
#include <string>

namespace Carobflow
{

/// Stream buffer that writes complete lines to a file descriptor without blocking. Lines that do not fit into the pipe
/// or that exceed the rate limit are dropped; the next line written is preceded by a line with the number dropped.
class NonBlockingLineBuffer : public std::streambuf
{
public:
    struct Options {
        int descriptor = 1;
        /// Average rate and burst size, in lines. At the peak load of the sites an agent writes about 150 lines/s and a
        /// leader about 400.
        double linesPerSecond = 1000;
        double burst = 2000;
    };

    explicit NonBlockingLineBuffer(Options options);

    [[nodiscard]] std::uint64_t droppedLines() const
    {
        return m_droppedLines;
    }

protected:
    int_type overflow(int_type character) override;
    std::streamsize xsputn(const char *text, std::streamsize count) override;
    int sync() override;

private:
    void writeLine();
    [[nodiscard]] bool takeToken();
    [[nodiscard]] bool isWritable() const;

    Options m_options;
    std::string m_line;
    std::uint64_t m_droppedLines = 0;
    std::uint64_t m_unreportedDrops = 0;
    double m_tokens;
    std::chrono::steady_clock::time_point m_refilledAt;
};

} // namespace Carobflow

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace Carobflow
{

/// A body in a string that grows with what arrives. http::string_body reserves the length that the client declares.
struct ReceivedBody {
    using value_type = std::string;

    static std::uint64_t size(const value_type &body)
    {
        return body.size();
    }

    // NOLINTNEXTLINE(readability-identifier-naming): the library looks for this name
    class reader
    {
    public:
        template<bool IsRequest, typename Fields>
        reader(boost::beast::http::header<IsRequest, Fields> & /*header*/, value_type &body)
            : m_body(body)
        {
        }

        template<typename Length>
        void init(const Length & /*length*/, boost::system::error_code &error)
        {
            error = {};
        }

        template<typename Buffers>
        std::size_t put(const Buffers &buffers, boost::system::error_code &error)
        {
            error = {};
            std::size_t count = 0;
            for (const boost::asio::const_buffer buffer : boost::beast::buffers_range_ref(buffers)) {
                m_body.append(static_cast<const char *>(buffer.data()), buffer.size());
                count += buffer.size();
            }
            return count;
        }

        void finish(boost::system::error_code &error)
        {
            error = {};
        }

    private:
        value_type &m_body;
    };
};

/// Discards trailers. Nothing here uses them, and as parsed fields they take up to fifty times their size on the wire,
/// before they can be counted.
class RequestParser : public boost::beast::http::request_parser<ReceivedBody>
{
private:
    // NOLINTNEXTLINE(readability-identifier-naming): a virtual function of the library
    void on_field_impl(boost::beast::http::field name,
                       boost::beast::string_view nameText,
                       boost::beast::string_view value,
                       boost::system::error_code & /*error*/) override
    {
        if (!is_header_done()) {
            get().insert(name, nameText, value);
        }
    }
};

/// Parses one request out of a connection's buffer within bounds of its framing and its body. The framing is what is
/// not body: the request line, headers, trailers, chunk-size lines and chunk extensions.
class RequestReader
{
public:
    struct Options {
        std::uint32_t maxHeaderBytes = 0;
        std::uint64_t maxBodyBytes = 0;
    };

    RequestReader(Options options, boost::beast::flat_buffer &buffer);
    RequestReader(const RequestReader &) = delete;
    RequestReader &operator=(const RequestReader &) = delete;

    /// Parses what the buffer holds. Returns false when more must be read. Errors: those of http::error;
    /// header_limit when the framing is too large.
    bool parse(boost::system::error_code &error);

    /// True once the headers are complete.
    [[nodiscard]] bool hasHeader() const;

    /// An upper estimate of the memory that this request holds.
    std::uint64_t heldBytes();

    boost::beast::http::request<ReceivedBody> release();

    /// The largest buffer that a reader with these options needs.
    static std::size_t maxBufferBytes(const Options &options);

private:
    Options m_options;
    boost::beast::flat_buffer &m_buffer;
    RequestParser m_parser;
    /// The parser refers to it.
    std::function<void(std::uint64_t, boost::beast::string_view, boost::system::error_code &)> m_onChunkHeader;
    std::uint64_t m_extensionBytes = 0;
    std::uint64_t m_fieldBytes = 0;
    /// True when m_fieldBytes includes all headers.
    bool m_headersCounted = false;
};

} // namespace Carobflow

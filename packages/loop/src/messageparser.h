#pragma once

#include "chunkscanner.h"
#include "headscanner.h"

#include "apricotrock/loop.h"

#include <http_parser.h>

namespace apricotrock::loop {

/// Builds one HTTP message from the callbacks of http_parser.
struct MessageParser
{
    explicit MessageParser(http_parser_type type);
    /// Resets the state for the next message.
    void reset();
    /// Parses \a data up to the end of one message; returns the number of bytes consumed.
    /// Sets `errorText` if the bytes are not a valid HTTP message.
    std::size_t feed(const char *data, std::size_t size);
    /// Signals the end of the connection, which completes a message without a length.
    void finishInput();

    http_parser parser{};
    http_parser_type type;
    std::string target;
    std::string reason;
    Headers headers;
    std::string body;
    std::string errorText;
    /// Size of the body if the header names it.
    std::optional<std::size_t> declaredBodyBytes;
    std::size_t headerBytes = 0;
    std::size_t maxHeaderBytes = 0;
    std::size_t maxBodyBytes = 0;
    bool isHeaderTooLarge = false;
    bool isBodyTooLarge = false;
    bool hasStarted = false;
    bool hasHeaders = false;
    bool isComplete = false;
    bool isHead = false;
    bool keepAlive = false;
    bool needsEnd = false;

private:
    static int onMessageBegin(http_parser *parser);
    static int onTarget(http_parser *parser, const char *data, std::size_t size);
    static int onReason(http_parser *parser, const char *data, std::size_t size);
    static int onField(http_parser *parser, const char *data, std::size_t size);
    static int onValue(http_parser *parser, const char *data, std::size_t size);
    static int onHeadersComplete(http_parser *parser);
    static int onBody(http_parser *parser, const char *data, std::size_t size);
    static int onMessageComplete(http_parser *parser);
    static const http_parser_settings &settings();
    static MessageParser &of(http_parser *parser);

    /// Passes \a data to http_parser; returns the number of bytes consumed.
    std::size_t execute(const char *data, std::size_t size);
    int addHeaderBytes(std::size_t count);

    HeadScanner m_headScanner;
    ChunkScanner m_chunkScanner;
    bool m_lastWasValue = false;
};

} // namespace apricotrock::loop

#pragma once

#include "receivingmemory.h"

#include "apricotrock/http.h"

namespace apricotrock::backend {

struct AnswerLimits
{
    std::size_t maxHeaderBytes = 0;
    std::size_t maxBodyBytes = 0;
};

/// Collects the answer to one request and refuses what is not provably complete.
///
/// libcurl decodes chunks and checks that a body has the length that it was given; this class
/// checks the rest: bounds, one unambiguous framing, and no trailer taken for a header.
class AnswerReader
{
public:
    /// \a memory may be null.
    AnswerReader(AnswerLimits limits, bool isHead, ReceivingMemory *memory = nullptr)
        : m_limits(limits), m_isHead(isHead), m_memory(memory)
    { }
    ~AnswerReader() { giveBackMemory(); }
    AnswerReader(const AnswerReader &) = delete;
    AnswerReader &operator=(const AnswerReader &) = delete;

    /// Takes one line of a head or of trailers, with its line end. False ends the transfer.
    bool addHeaderLine(std::string_view line);
    /// Takes decoded bytes of the body. False ends the transfer.
    bool addBody(std::string_view data);

    /// True after the first byte of an answer.
    [[nodiscard]] bool isStarted() const { return m_headerBytes > 0; }
    [[nodiscard]] bool isInvalid() const { return m_isInvalid; }
    /// True after the end of the head of a final answer (not 1xx).
    [[nodiscard]] bool isHeadComplete() const { return m_isHeadComplete; }
    [[nodiscard]] const HttpResponse &response() const { return m_response; }
    /// Returns the answer without hop-by-hop headers, and gives its memory back.
    HttpResponse takeResponse();

private:
    bool refuse();
    void giveBackMemory();
    bool startHead(std::string_view line);
    bool addHeader(std::string_view line);
    bool endHead();
    [[nodiscard]] bool isBodyExpected() const;

    const AnswerLimits m_limits;
    const bool m_isHead;
    ReceivingMemory *const m_memory;
    std::size_t m_takenBytes = 0;
    std::size_t m_headerBytes = 0;
    /// A status line was read, and the end of its head was not.
    bool m_isInHead = false;
    /// The line before ended with a line feed alone.
    bool m_isLineFeedAlone = false;
    bool m_isInvalid = false;
    bool m_isHeadComplete = false;
    HttpResponse m_response;
};

} // namespace apricotrock::backend

#include "apricotrock/http.h"

#include <nlohmann/json.hpp>

namespace apricotrock {

HttpResponse errorResponse(ErrorKind kind, Outcome outcome)
{
    const ErrorInfo &info = errorInfo(kind);
    const nlohmann::json body = {
        {"error", info.name},
        {"outcome", outcomeName(outcome)},
        {"remedy", info.remedy},
    };
    HttpResponse response;
    response.status = info.status;
    response.headers = {
        {"Content-Type", "application/json"},
        {std::string(headername::errorKind), std::string(info.name)},
        {std::string(headername::requestOutcome), std::string(outcomeName(outcome))},
    };
    response.body = body.dump() + '\n';
    return response;
}

} // namespace apricotrock

#include "apricotrock/fields.h"

namespace apricotrock {

std::string Problem::toString() const
{
    std::string text = file.empty() ? "" : file + ": ";
    if (!object.empty())
        text += '[' + object + "] ";
    if (!key.empty())
        text += key + (value.empty() ? ": " : " = " + value + ": ");
    else if (!value.empty())
        text += '"' + value + "\": ";
    else if (!object.empty())
        text.back() = ':', text += ' ';
    return text + message + "; " + remedy;
}

} // namespace apricotrock

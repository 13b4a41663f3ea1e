#include "configfile.h"

namespace apricotrock::cli {

ConfigFile readConfigFile(const std::string &file)
{
    ConfigFile result;
    const auto text = readTextFile(file, result.problems);
    if (!text)
        return result;
    result.objects = readObjects(file, *text, result.problems);
    result.configuration = validate(result.objects, result.problems);
    locateProblems(file, *text, result.problems);
    if (result.objects.empty() && result.problems.empty())
        result.problems.push_back(
            {file, "", "", "", "holds no objects", "write sections such as [service order-desk]"});
    return result;
}

} // namespace apricotrock::cli

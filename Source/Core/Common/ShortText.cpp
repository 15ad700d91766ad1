// Shortening of texts from outside.
#include "Common/ShortText.h"

namespace Common {

std::string shortText(std::string_view text, size_t maximumBytes)
{
    std::string shortened(text.substr(0, maximumBytes));
    for (char& c : shortened) {
        if (c < ' ' || c > '~')
            c = '?';
    }
    if (text.size() > maximumBytes)
        shortened += "...";
    return shortened;
}

} // namespace Common

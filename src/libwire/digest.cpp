#include "digest.h"

#include <xxhash.h>

#include <array>

namespace galenaturn::wire {

std::string content_digest(std::string_view content)
{
    constexpr std::string_view digits = "0123456789abcdef";
    XXH128_canonical_t canonical;
    XXH128_canonicalFromHash(&canonical, XXH3_128bits(content.data(), content.size()));
    std::string text;
    for (const unsigned char byte : canonical.digest) {
        text += digits[byte >> 4U];
        text += digits[byte & 0xFU];
    }
    return text;
}

} // namespace galenaturn::wire

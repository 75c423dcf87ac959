#pragma once

#include <galenaturn/core.h>

#include <algorithm>

namespace galenaturn::membership {

/** Bounds bytes sent: at most `rate` a second over time, at most `depth` at once. */
class token_bucket {
public:
    token_bucket(bytes rate, bytes depth)
        : rate_{static_cast<double>(rate.value())}, depth_{static_cast<double>(depth.value())},
          tokens_{depth_}
    {
    }

    /** Takes the tokens for `size` bytes. Returns false and takes none where too few are left. */
    bool take(std::size_t size, time_point now)
    {
        refill(now);
        if (tokens_ < static_cast<double>(size))
            return false;
        tokens_ -= static_cast<double>(size);
        return true;
    }

    /** Returns how much of the depth is left, from 0 to 1. */
    double share_left(time_point now)
    {
        refill(now);
        return tokens_ / depth_;
    }

private:
    void refill(time_point now)
    {
        if (now > filled_) {
            const auto seconds = std::chrono::duration<double>(now - filled_).count();
            tokens_ = std::min(depth_, tokens_ + rate_ * seconds);
            filled_ = now;
        }
    }

    double rate_;
    double depth_;
    double tokens_;
    time_point filled_;
};

} // namespace galenaturn::membership

#pragma once

#include <galenaturn/core.h>

#include <algorithm>

namespace galenaturn::membership {

/** Limits sent bytes to an average of `bytes_per_second` with bursts of up to `burst`. */
class token_bucket {
public:
    token_bucket(bytes bytes_per_second, bytes burst)
        : bytes_per_second_{static_cast<double>(bytes_per_second.value())},
          burst_{static_cast<double>(burst.value())}, tokens_{burst_}
    {
    }

    /** Takes the tokens for `size` bytes. Returns false and takes none if too few are left. */
    bool take(std::size_t size, time_point now)
    {
        refill(now);
        if (tokens_ < static_cast<double>(size))
            return false;
        tokens_ -= static_cast<double>(size);
        return true;
    }

    /** Returns the share of the burst that is available, from 0 to 1. */
    double remaining_share(time_point now)
    {
        refill(now);
        return tokens_ / burst_;
    }

private:
    void refill(time_point now)
    {
        if (now > refilled_at_) {
            const auto seconds = std::chrono::duration<double>(now - refilled_at_).count();
            tokens_ = std::min(burst_, tokens_ + bytes_per_second_ * seconds);
            refilled_at_ = now;
        }
    }

    double bytes_per_second_;
    double burst_;
    double tokens_;
    time_point refilled_at_;
};

} // namespace galenaturn::membership

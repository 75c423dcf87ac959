#pragma once

#include <galenaturn/messages.h>

#include <string>
#include <vector>

namespace galenaturn::entryd {

/** Frame slot_request: asks another entry for a slot of an upstream whose home entry it is. */
struct slot_request {
    service_id service;
    /** Upstreams to which the request was sent before. */
    std::vector<upstream_id> excluded;
    /** Requested duration of the loan, counted from the sending of this message. */
    duration span{};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(service, excluded, span);
    }
};

/** Reply to slot_request. */
struct slot_response {
    bool granted{false};
    /** Number of the loan, repeated in slot_return. */
    std::uint64_t loan{0};
    upstream_id upstream;
    incarnation incarnation_number;
    ip_endpoint address;
    std::uint32_t slots{0};
    std::uint32_t connections{0};
    /** Whether the lender has upstreams of this service at all. */
    bool has_upstreams{false};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(granted, loan, upstream, incarnation_number, address, slots, connections,
                has_upstreams);
    }
};

/** Frame slot_return: ends a loan and reports the outcome of the attempt. */
struct slot_return {
    std::uint64_t loan{0};
    bool failed{false};
    /** False if the attempt was cancelled, which says nothing about the upstream's health. */
    bool counts_for_health{true};
    duration took{};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(loan, failed, counts_for_health, took);
    }
};

} // namespace galenaturn::entryd

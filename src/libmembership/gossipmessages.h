#pragma once

#include <galenaturn/messages.h>

#include <cereal/types/string.hpp>

#include <cstdint>
#include <limits>
#include <string>
#include <vector>

namespace galenaturn::membership {

/** A list of at most 255 items whose count takes one byte on the wire. */
template <class T>
struct short_list {
    static constexpr std::size_t capacity = std::numeric_limits<std::uint8_t>::max();
    std::vector<T> items;

    [[nodiscard]] bool full() const { return items.size() >= capacity; }

    template <class Archive>
    void save(Archive& archive) const
    {
        GN_INVARIANT(items.size() <= capacity, {"items", items.size()});
        archive(static_cast<std::uint8_t>(items.size()));
        for (const auto& item : items)
            archive(item);
    }

    template <class Archive>
    void load(Archive& archive)
    {
        std::uint8_t count{};
        archive(count);
        items.resize(count);
        for (auto& item : items)
            archive(item);
    }
};

/** A text of at most 255 bytes whose length takes one byte on the wire. Longer ones are cut. */
struct short_text {
    std::string value;

    template <class Archive>
    void save(Archive& archive) const
    {
        const auto size = std::min(value.size(), short_list<char>::capacity);
        archive(static_cast<std::uint8_t>(size));
        archive.save_binary(value.data(), size);
    }

    template <class Archive>
    void load(Archive& archive)
    {
        std::uint8_t size{};
        archive(size);
        value.resize(size);
        archive.load_binary(value.data(), size);
    }
};

/** Stands for a process in gossip: a hash of its name. */
using member_key = std::uint32_t;

enum class member_status : std::uint8_t { unknown, alive, suspect, dead };

/** What one process says of the life of another. */
struct member_update {
    member_key member{0};
    incarnation life;
    member_status status{member_status::unknown};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(member, life, status);
    }
};

/** Numbers the changes of one list of an origin. */
using stream_version = std::uint32_t;

/** How far the sender knows what an origin hosts. */
struct origin_digest {
    member_key origin{0};
    /** When the origin started; a later start begins its lists anew. */
    std::uint64_t boot{0};
    stream_version departures{0};
    stream_version arrivals{0};
    /** Milliseconds since the origin itself said so. */
    std::uint16_t age{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(origin, boot, departures, arrivals, age);
    }
};

/** An upstream that an origin hosts. */
struct arrival {
    stream_version version{0};
    wire::upstream_announcement said;
};

enum class departure_kind : std::uint8_t {
    /** The upstream said that it is leaving. */
    leaving,
    /** Its announcements ceased. */
    lapsed,
    /** It announces itself to another entry now. */
    moved,
};

/** An upstream that an origin hosts no more. */
struct departure {
    stream_version version{0};
    upstream_id id;
    incarnation life;
    std::uint64_t sequence{0};
    departure_kind kind{departure_kind::leaving};

    template <class Archive>
    void save(Archive& archive) const
    {
        archive(version, short_text{id.value()}, life, sequence, kind);
    }

    template <class Archive>
    void load(Archive& archive)
    {
        short_text name;
        archive(version, name, life, sequence, kind);
        id = upstream_id{name.value};
    }
};

/** Changes of an origin's departures after version `base`, up to `up_to`, in order. */
class departure_delta {
public:
    member_key origin{0};
    std::uint64_t boot{0};
    stream_version base{0};
    stream_version up_to{0};

    [[nodiscard]] static std::size_t size_with(const departure& item);
    bool add(const departure& item);
    [[nodiscard]] const std::vector<departure>& items() const { return items_.items; }

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(origin, boot, base, up_to, items_);
    }

private:
    short_list<departure> items_;
};

/**
 * The same for arrivals. Names that many upstreams share stand once, in `names`; an item carries
 * their places there.
 */
class arrival_delta {
public:
    member_key origin{0};
    std::uint64_t boot{0};
    stream_version base{0};
    stream_version up_to{0};

    /** Returns how many bytes `item` would add. */
    [[nodiscard]] std::size_t size_with(const arrival& item) const;
    /** Adds an item. Returns false, and adds nothing, where the lists are full. */
    bool add(const arrival& item);
    [[nodiscard]] const std::vector<arrival>& items() const { return items_; }

    template <class Archive>
    void save(Archive& archive) const
    {
        archive(origin, boot, base, up_to, names_, static_cast<std::uint8_t>(items_.size()));
        for (const auto& item : items_) {
            const auto& said = item.said;
            archive(item.version, short_text{said.id.value()}, place_of(said.service.value()),
                    place_of(said.domain.value()), place_of(said.rack.value()),
                    short_text{said.address.address}, said.address.port, said.life, said.sequence,
                    static_cast<std::uint16_t>(said.slots),
                    static_cast<std::uint16_t>(said.connections),
                    static_cast<std::uint16_t>(said.busy_slots));
        }
    }

    /** Throws where an item names a place that is not there. */
    template <class Archive>
    void load(Archive& archive)
    {
        std::uint8_t count{};
        archive(origin, boot, base, up_to, names_, count);
        for (std::size_t index = 0; index < count; ++index)
            load_item(archive);
    }

private:
    template <class Archive>
    void load_item(Archive& archive)
    {
        arrival item;
        auto& said = item.said;
        short_text id;
        short_text address;
        std::uint8_t service{};
        std::uint8_t domain{};
        std::uint8_t rack{};
        std::uint16_t slots{};
        std::uint16_t connections{};
        std::uint16_t busy{};
        archive(item.version, id, service, domain, rack, address, said.address.port, said.life,
                said.sequence, slots, connections, busy);
        said.id = upstream_id{id.value};
        said.service = service_id{names_.items.at(service).value};
        said.domain = failure_domain_id{names_.items.at(domain).value};
        said.rack = rack_id{names_.items.at(rack).value};
        said.address.address = address.value;
        said.slots = slots;
        said.connections = connections;
        said.busy_slots = busy;
        items_.push_back(std::move(item));
    }

    [[nodiscard]] std::uint8_t place_of(const std::string& name) const;
    [[nodiscard]] bool knows(const std::string& name) const;

    short_list<short_text> names_;
    std::vector<arrival> items_;
};

/** The latest load of an upstream that the sender hosts. */
struct load_update {
    /** Hash of the upstream's id. */
    std::uint32_t upstream{0};
    std::uint64_t sequence{0};
    std::uint16_t busy_slots{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(upstream, sequence, busy_slots);
    }
};

enum class gossip_kind : std::uint8_t {
    /** Wants an ack. */
    ping,
    ack,
    /** Asks the receiver to ping `subject` for the sender. */
    ping_request,
    /** Wants no answer. */
    push,
    /** Sent at start: wants everything that the receiver hosts. */
    join,
    /** Carries only what the sender hosts. */
    join_answer,
};

/** One datagram of gossip. */
struct gossip_message {
    gossip_kind kind{gossip_kind::ping};
    std::uint32_t sequence{0};
    member_key subject{0};
    incarnation life;
    short_list<member_update> members;
    short_list<origin_digest> origins;
    short_list<departure_delta> departures;
    short_list<arrival_delta> arrivals;
    short_list<load_update> loads;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(kind, sequence, subject, life, members, origins, departures, arrivals, loads);
    }
};

} // namespace galenaturn::membership

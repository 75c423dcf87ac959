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

/** A text whose length takes one byte on the wire; truncated to 255 bytes. */
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

/** Identifies a process in gossip: a hash of its name. */
using member_key = std::uint32_t;

/** Of two updates with the same incarnation number the one with the higher status applies. */
enum class member_status : std::uint8_t { unknown, alive, suspect, dead };

/** One process's view of the status of another. */
struct member_update {
    member_key member{0};
    incarnation incarnation_number;
    member_status status{member_status::unknown};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(member, incarnation_number, status);
    }
};

/**
 * Version of a list of an origin, raised by each change. An origin is a process that hosts
 * upstreams: they announce themselves to it. It publishes two lists: arrivals and departures.
 */
using list_version = std::uint32_t;

/** The versions of an origin's lists that the sender has. */
struct origin_digest {
    member_key origin{0};
    /** Wall clock time of the origin's start; a later start replaces the lists. */
    std::uint64_t start_number{0};
    list_version departures{0};
    list_version arrivals{0};
    /** Time since the origin itself stated these versions. */
    std::uint16_t age_ms{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(origin, start_number, departures, arrivals, age_ms);
    }
};

/** An upstream that an origin hosts. */
struct arrival {
    list_version version{0};
    wire::upstream_announcement announcement;
};

enum class departure_kind : std::uint8_t {
    /** The upstream announced that it is leaving. */
    leaving,
    /** Its announcements stopped. */
    expired,
    /** It now announces itself to another entry. */
    moved,
};

/** An upstream that an origin no longer hosts. */
struct departure {
    list_version version{0};
    upstream_id id;
    incarnation incarnation_number;
    std::uint64_t sequence{0};
    departure_kind kind{departure_kind::leaving};

    template <class Archive>
    void save(Archive& archive) const
    {
        archive(version, short_text{id.value()}, incarnation_number, sequence, kind);
    }

    template <class Archive>
    void load(Archive& archive)
    {
        short_text name;
        archive(version, name, incarnation_number, sequence, kind);
        id = upstream_id{name.value};
    }
};

/** Changes of an origin's list of departures after version `base`, up to `up_to`, in order. */
class departure_delta {
public:
    member_key origin{0};
    std::uint64_t start_number{0};
    list_version base{0};
    list_version up_to{0};

    /** Returns the bytes that adding `item` takes. */
    [[nodiscard]] static std::size_t size_with(const departure& item);
    /** Adds an item. Returns false, and adds nothing, if the list is full. */
    bool add(const departure& item);
    [[nodiscard]] const std::vector<departure>& items() const { return items_.items; }

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(origin, start_number, base, up_to, items_);
    }

private:
    short_list<departure> items_;
};

/**
 * Changes of an origin's list of arrivals after version `base`, up to `up_to`, in order. Service,
 * domain and rack, which many upstreams share, are sent once in a table of names; an item carries
 * indexes into it.
 */
class arrival_delta {
public:
    member_key origin{0};
    std::uint64_t start_number{0};
    list_version base{0};
    list_version up_to{0};

    /** Returns the bytes that adding `item` takes, with the names that are not in the table yet. */
    [[nodiscard]] std::size_t size_with(const arrival& item) const;
    /** Adds an item. Returns false, and adds nothing, if the items or the names are full. */
    bool add(const arrival& item);
    [[nodiscard]] const std::vector<arrival>& items() const { return items_; }

    template <class Archive>
    void save(Archive& archive) const
    {
        archive(origin, start_number, base, up_to, names_,
                static_cast<std::uint8_t>(items_.size()));
        for (const auto& item : items_) {
            const auto& announcement = item.announcement;
            archive(item.version, short_text{announcement.id.value()},
                    name_index(announcement.service.value()),
                    name_index(announcement.domain.value()), name_index(announcement.rack.value()),
                    short_text{announcement.address.address}, announcement.address.port,
                    announcement.incarnation_number, announcement.sequence,
                    static_cast<std::uint16_t>(announcement.slots),
                    static_cast<std::uint16_t>(announcement.connections),
                    static_cast<std::uint16_t>(announcement.busy_slots));
        }
    }

    /** Throws std::out_of_range if an index of an item is outside the table of names. */
    template <class Archive>
    void load(Archive& archive)
    {
        std::uint8_t count{};
        archive(origin, start_number, base, up_to, names_, count);
        for (std::size_t index = 0; index < count; ++index)
            load_item(archive);
    }

private:
    template <class Archive>
    void load_item(Archive& archive)
    {
        arrival item;
        auto& announcement = item.announcement;
        short_text id;
        short_text address;
        std::uint8_t service{};
        std::uint8_t domain{};
        std::uint8_t rack{};
        std::uint16_t slots{};
        std::uint16_t connections{};
        std::uint16_t busy_slots{};
        archive(item.version, id, service, domain, rack, address, announcement.address.port,
                announcement.incarnation_number, announcement.sequence, slots, connections,
                busy_slots);
        announcement.id = upstream_id{id.value};
        announcement.service = service_id{names_.items.at(service).value};
        announcement.domain = failure_domain_id{names_.items.at(domain).value};
        announcement.rack = rack_id{names_.items.at(rack).value};
        announcement.address.address = address.value;
        announcement.slots = slots;
        announcement.connections = connections;
        announcement.busy_slots = busy_slots;
        items_.push_back(std::move(item));
    }

    [[nodiscard]] std::uint8_t name_index(const std::string& name) const;
    [[nodiscard]] bool has_name(const std::string& name) const;

    short_list<short_text> names_;
    std::vector<arrival> items_;
};

/** The latest load of an upstream that the sender hosts. */
struct load_update {
    /** Hash of the upstream's id. */
    std::uint32_t upstream_hash{0};
    std::uint64_t sequence{0};
    std::uint16_t busy_slots{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(upstream_hash, sequence, busy_slots);
    }
};

enum class gossip_kind : std::uint8_t {
    /** Requests an ack. */
    ping,
    ack,
    /** Asks the receiver to ping `subject` for the sender. */
    ping_request,
    /** Carries changes; not acknowledged. */
    push,
    /** Sent at start: requests all upstreams that the receiver hosts. */
    join,
    /** Carries only changes of the sender's own lists. */
    join_response,
};

/** One datagram of gossip. */
struct gossip_message {
    gossip_kind kind{gossip_kind::ping};
    /** Number of a ping, repeated in its ack; 0 if no ack is awaited. */
    std::uint32_t sequence{0};
    /** Process to be pinged, in a ping request; the one that responded, in a forwarded ack. */
    member_key subject{0};
    incarnation sender_incarnation;
    short_list<member_update> members;
    short_list<origin_digest> origins;
    short_list<departure_delta> departures;
    short_list<arrival_delta> arrivals;
    short_list<load_update> loads;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(kind, sequence, subject, sender_incarnation, members, origins, departures, arrivals,
                loads);
    }
};

} // namespace galenaturn::membership

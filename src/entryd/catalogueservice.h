#pragma once

#include "entryhub.h"

#include <galenaturn/daemon.h>

#include <random>

namespace galenaturn::entryd {

/** What becomes of a catalogue document that reaches an entry. */
enum class catalogue_verdict : std::uint8_t {
    taken,
    /** The version is in force already. */
    known,
    /** A higher version is in force: an entry never goes back. */
    refused_older,
    /** The document cannot be parsed; the one in force stays. */
    refused_malformed,
};

/** Puts `document` in force where it is newer than `current`. */
catalogue_verdict take_catalogue(catalogue_in_force& current,
                                 const wire::catalogue_document& document);

/**
 * Keeps the catalogue in force of one entry: takes what control processes push, asks for the
 * version in force now and then, and fetches it where it is newer. After a start it first asks the
 * leader, and a voter that may be behind only when no leader answers.
 */
class catalogue_service : public daemon::service {
public:
    /** `hub` outlives the service. */
    catalogue_service(daemon::context& shared, entry_hub& hub);

    result<void> start() override;

    [[nodiscard]] const catalogue_in_force& current() const { return current_; }

private:
    static boost::asio::awaitable<void> poll(catalogue_service* self);
    /** Returns the newest document that can be had, or nothing where none is newer. */
    static boost::asio::awaitable<std::optional<wire::catalogue_document>>
    fetch(catalogue_service* self, bool stale_allowed);
    void take(const wire::catalogue_document& document);

    daemon::context& shared_;
    entry_hub& hub_;
    catalogue_in_force current_;
    /** Spreads the polls of many entries. */
    std::minstd_rand random_;
    gauge& version_;
    std::map<catalogue_verdict, counter*> verdicts_;
    counter& unanswered_polls_;
};

} // namespace galenaturn::entryd

#pragma once

#include "slotbroker.h"
#include "slotmessages.h"

#include <galenaturn/daemon.h>

#include <map>
#include <memory>

namespace galenaturn::entryd {

/**
 * Lends free slots of the upstreams at home here to other entries, and borrows theirs for requests
 * that wait here: own failure domain first, then the others. A loan ends when it is returned, or
 * at its time limit, which the lender counts from a later moment than the borrower.
 */
class slot_exchange : public std::enable_shared_from_this<slot_exchange> {
public:
    /** All arguments outlive the exchange. */
    slot_exchange(daemon::context& shared, slot_broker& broker, request_metrics& metrics);

    /** Takes part in the frames between entries and in the broker's search for slots. */
    void start();
    /** Returns a slot of an entry elsewhere at an upstream not in `tried`, asking each once. */
    boost::asio::awaitable<std::optional<slot_grant>> borrow(service_id service,
                                                             std::vector<upstream_id> tried);
    /** Gives a borrowed slot back. */
    void give_back(const slot_grant& grant, route::attempt_outcome outcome, duration took);

private:
    struct loan {
        slot_grant grant;
        time_point expires;
    };

    slot_answer lend(const slot_request& wanted);
    void take_back(const slot_return& returned);
    void watch_expiry();
    void expire_loans();
    [[nodiscard]] std::vector<wire::peer_link*> neighbours();
    [[nodiscard]] bool can_borrow();
    void search(std::uint32_t service);
    static boost::asio::awaitable<void> search_loop(std::shared_ptr<slot_exchange> self,
                                                    std::uint32_t service, service_id id);
    boost::asio::awaitable<std::optional<slot_grant>> ask(wire::peer_link& link,
                                                          const process_id& lender,
                                                          const slot_request& wanted,
                                                          bool& has_upstreams);

    daemon::context& shared_;
    slot_broker& broker_;
    request_metrics& metrics_;
    /** Entries that may lend: those of the own failure domain first. */
    std::vector<process_id> lenders_;
    std::size_t own_domain_lenders_{0};
    std::size_t next_lender_{0};
    std::uint64_t last_loan_;
    std::map<std::uint64_t, loan> loans_;
    bool watching_{false};
    boost::asio::steady_timer expiry_timer_;
    /** Searches in progress, by service number. */
    std::map<std::uint32_t, std::size_t> searches_;
};

} // namespace galenaturn::entryd

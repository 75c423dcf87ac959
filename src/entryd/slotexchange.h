#pragma once

#include "slotbroker.h"
#include "slotmessages.h"

#include <galenaturn/daemon.h>

#include <map>
#include <memory>

namespace galenaturn::entryd {

/**
 * Lends free slots of the upstreams whose home entry this is (the entry that owns their slots) to
 * other entries, and borrows slots for requests that wait here: first from entries of the own
 * failure domain, then from others. A loan ends when it is returned or expires. The lender lets it
 * expire later than the borrower, so that a slot is never used by both.
 */
class slot_exchange : public std::enable_shared_from_this<slot_exchange> {
public:
    /** All arguments outlive the exchange. */
    slot_exchange(daemon::context& shared, slot_broker& broker, request_metrics& metrics);

    /** Registers the frame handlers and the broker's callbacks. */
    void start();
    /** Borrows a slot at an upstream that is not in `tried`; asks each other entry once. */
    boost::asio::awaitable<std::optional<slot_grant>> borrow(service_id service,
                                                             std::vector<upstream_id> tried);
    /** Returns a borrowed slot to its lender with the outcome of the attempt. */
    void return_slot(const slot_grant& grant, route::attempt_outcome outcome, duration took);

private:
    struct loan {
        slot_grant grant;
        time_point expires;
    };

    slot_response lend(const slot_request& request);
    void on_slot_return(const slot_return& returned);
    void schedule_expiry_check();
    void expire_loans();
    [[nodiscard]] std::vector<wire::peer_link*> neighbours();
    [[nodiscard]] bool can_borrow();
    void search(std::uint32_t service);
    static boost::asio::awaitable<void> search_loop(std::shared_ptr<slot_exchange> self,
                                                    std::uint32_t service, service_id id);
    boost::asio::awaitable<std::optional<slot_grant>> request_slot(wire::peer_link& link,
                                                                   const process_id& lender,
                                                                   const slot_request& request,
                                                                   bool& has_upstreams);

    daemon::context& shared_;
    slot_broker& broker_;
    request_metrics& metrics_;
    /** Entries that may lend slots; those of the own failure domain come first. */
    std::vector<process_id> lenders_;
    std::size_t own_domain_lenders_{0};
    std::size_t next_lender_{0};
    std::uint64_t last_loan_;
    std::map<std::uint64_t, loan> loans_;
    bool expiry_check_scheduled_{false};
    wire::boot_timer expiry_timer_;
    /** Number of searches in progress, by service number. */
    std::map<std::uint32_t, std::size_t> searches_;
};

} // namespace galenaturn::entryd

package org.lovagegrade.graph.advice;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.lovagegrade.wire.proto.AdviceResultProto;
import org.lovagegrade.wire.proto.AdviceTicketProto;

/** The adviser's answers about one step. */
final class StepAdvice {
    private final Map<String, Ticket> tickets = new HashMap<>();
    private final Map<String, Boolean> denied = new HashMap<>();
    boolean isPending;

    /** A ticket with the time at which it expires. */
    private record Ticket(String text, long expiresAtMs) {}

    void update(Iterable<String> workers, AdviceResultProto result, long marginMs, long nowMs) {
        long expiresAtMs = nowMs - result.getAgeMs() + result.getValidMs() - marginMs;
        for (String worker : workers) {
            if (!tickets.containsKey(worker)) {
                denied.put(worker, true);
            }
        }
        for (AdviceTicketProto allowed : result.getAllowedList()) {
            denied.remove(allowed.getWorker());
            tickets.put(allowed.getWorker(), new Ticket(allowed.getTicket(), expiresAtMs));
        }
    }

    Verdict verdict(String worker, long nowMs) {
        Ticket ticket = tickets.get(worker);
        if (ticket != null) {
            return ticket.expiresAtMs() > nowMs ? Verdict.ALLOWED : Verdict.STALE;
        }
        return denied.containsKey(worker) ? Verdict.DENIED : Verdict.UNKNOWN;
    }

    Optional<String> ticket(String worker) {
        return Optional.ofNullable(tickets.get(worker)).map(Ticket::text);
    }

    void expire(String worker) {
        tickets.computeIfPresent(worker, (_id, ticket) -> new Ticket(ticket.text(), Long.MIN_VALUE));
    }

    void forgetWorker(String worker) {
        tickets.remove(worker);
        denied.remove(worker);
    }
}

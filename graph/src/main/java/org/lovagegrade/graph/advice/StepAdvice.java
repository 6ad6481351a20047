package org.lovagegrade.graph.advice;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lovagegrade.wire.proto.AdviceResultProto;
import org.lovagegrade.wire.proto.AdviceTicketProto;

/** The adviser's answers about one step. */
final class StepAdvice {
    private final Map<String, Ticket> tickets = new HashMap<>();
    private final Set<String> denied = new HashSet<>();
    /** The number of the latest question about the step, 0 before the first. */
    long latestQuestion;

    /** A ticket with the time at which it expires. */
    private record Ticket(String text, long expiresAtMs) {
        Ticket laterOf(Ticket other) {
            return other.expiresAtMs > expiresAtMs ? other : this;
        }
    }

    /** Adds an answer about the given workers; tickets for other workers are ignored. */
    void update(List<String> workers, AdviceResultProto result, long marginMs, long nowMs) {
        long expiresAtMs = nowMs - result.getAgeMs() + result.getValidMs() - marginMs;
        for (String worker : workers) {
            if (!tickets.containsKey(worker)) {
                denied.add(worker);
            }
        }
        for (AdviceTicketProto allowed : result.getAllowedList()) {
            String worker = allowed.getWorker();
            if (workers.contains(worker)) {
                denied.remove(worker);
                tickets.merge(worker, new Ticket(allowed.getTicket(), expiresAtMs), Ticket::laterOf);
            }
        }
    }

    Verdict verdict(String worker, long nowMs) {
        Ticket ticket = tickets.get(worker);
        if (ticket != null) {
            return ticket.expiresAtMs() > nowMs ? Verdict.ALLOWED : Verdict.STALE;
        }
        return denied.contains(worker) ? Verdict.DENIED : Verdict.UNKNOWN;
    }

    long remainingMs(String worker, long nowMs) {
        Ticket ticket = tickets.get(worker);
        return ticket == null || ticket.expiresAtMs() <= nowMs ? 0 : ticket.expiresAtMs() - nowMs;
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

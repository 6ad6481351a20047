package org.lovagegrade.graph.leader;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.lovagegrade.graph.machine.RunKey;
import org.lovagegrade.wire.proto.EvacuationOrderProto;
import org.lovagegrade.wire.proto.EvacuationStateProto;
import org.lovagegrade.wire.proto.WorkerProto;

/**
 * Simulates an operator who resends orders about failure domains until they are acknowledged, and checks that nothing
 * is started in an evacuated one. Copies of the orders may arrive much later.
 */
final class SimulatedOperator {
    /** A task may start in an evacuated failure domain this long after the acknowledgement, by an order on its way. */
    private static final long EVACUATE_MS = 5_000;

    private static final long RESEND_MS = 300;
    private static final int MAX_COPY_DELAY_MS = 12_000;

    private final SimulatedTime time;
    private final SimulatedCell cell;
    private final Random random;
    private final Map<String, Integer> lastOrder = new HashMap<>();
    private final Map<String, Long> acknowledgedAtMs = new HashMap<>();
    private int orders;

    SimulatedOperator(SimulatedTime time, SimulatedCell cell, Random random) {
        this.time = time;
        this.cell = cell;
        this.random = random;
    }

    void evacuate(String domain) {
        order(domain, true, () -> {});
    }

    /** Evacuates a failure domain and runs a task at the moment of the acknowledgement. */
    void evacuate(String domain, Runnable onAcknowledgement) {
        order(domain, true, onAcknowledgement);
    }

    void returnToService(String domain) {
        acknowledgedAtMs.remove(domain);
        order(domain, false, () -> {});
    }

    boolean isAcknowledged(String domain) {
        return acknowledgedAtMs.containsKey(domain);
    }

    private void order(String domain, boolean isActive, Runnable onAcknowledgement) {
        orders++;
        lastOrder.put(domain, orders);
        send(domain, isActive, orders, onAcknowledgement);
    }

    private void send(String domain, boolean isActive, int number, Runnable onAcknowledgement) {
        if (lastOrder.get(domain) != number) {
            return;
        }
        cell.evacuationHandler().ifPresent(handler -> {
            long baseVersion = handler.orders().getEvacuation().getEvacuationsList().stream()
                    .filter(state -> state.getFailureDomain().equals(domain))
                    .mapToLong(EvacuationStateProto::getVersion)
                    .findFirst()
                    .orElse(0);
            EvacuationOrderProto order = EvacuationOrderProto.newBuilder()
                    .setFailureDomain(domain)
                    .setActive(isActive)
                    .setBaseVersion(baseVersion)
                    .build();
            handler.order(order, reply -> {
                if (reply.getEvacuation().getAccepted()) {
                    acknowledge(domain, isActive, number, onAcknowledgement);
                }
            });
            sendCopyLater(order);
        });
        time.after(RESEND_MS, () -> send(domain, isActive, number, onAcknowledgement));
    }

    private void sendCopyLater(EvacuationOrderProto order) {
        if (random.nextInt(3) == 0) {
            time.after(
                    1 + random.nextInt(MAX_COPY_DELAY_MS),
                    () -> cell.evacuationHandler().ifPresent(handler -> handler.order(order, _reply -> {})));
        }
    }

    private void acknowledge(String domain, boolean isActive, int number, Runnable onAcknowledgement) {
        if (lastOrder.get(domain) != number) {
            return;
        }
        lastOrder.put(domain, 0);
        if (isActive) {
            acknowledgedAtMs.put(domain, time.nowMs());
        }
        onAcknowledgement.run();
    }

    /** Checks a start that a leader sends. */
    void checkOrder(WorkerProto worker, RunKey run) {
        cell.check(
                "no order after an acknowledged evacuation",
                !isAcknowledged(worker.getFailureDomain()),
                () -> run + " to " + worker.getId() + " in " + worker.getFailureDomain());
    }

    /** Checks a start that a worker carries out. */
    void checkStart(WorkerProto worker, RunKey run) {
        Long sinceMs = acknowledgedAtMs.get(worker.getFailureDomain());
        cell.check(
                "no start in an evacuated failure domain",
                sinceMs == null || time.nowMs() - sinceMs <= EVACUATE_MS,
                () -> run + " on " + worker.getId() + ", acknowledged at " + sinceMs);
    }
}

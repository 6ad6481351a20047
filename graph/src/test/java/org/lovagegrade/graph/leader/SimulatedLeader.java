package org.lovagegrade.graph.leader;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.Executor;

/** A leader as a process, which may be frozen; like a replica it handles its queued messages before it checks its lease. */
record SimulatedLeader(
        GraphLeader duties, MessageQueue queue, SimulatedLeaderLink link, EvacuationRequestHandler evacuationHandler) {
    void freeze() {
        queue.isFrozen = true;
        link.depose();
    }

    /** Handles what has arrived meanwhile, and then notices that another leader has been elected. */
    void wakeAndClose() {
        queue.isFrozen = false;
        while (!queue.messages.isEmpty()) {
            queue.messages.poll().run();
        }
        close();
    }

    void close() {
        duties.close();
    }

    /** The messages that wait for a leader; they are handled at once unless it is frozen. */
    static final class MessageQueue implements Executor {
        private final Deque<Runnable> messages = new ArrayDeque<>();
        private boolean isFrozen;

        @Override
        public void execute(Runnable message) {
            if (isFrozen) {
                messages.add(message);
            } else {
                message.run();
            }
        }
    }
}

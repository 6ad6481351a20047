package org.lovagegrade.integration;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** Waits for events by looking again and again; the limit is only there so that a hang becomes a failure. */
final class Await {
    private static final long LIMIT_MS = 90_000;
    private static final long LOOK_MS = 25;

    private Await() {}

    static void until(String event, BooleanSupplier happened) {
        assertWithMessage("waiting for: %s", event)
                .that(holdsWithin(LIMIT_MS, happened))
                .isTrue();
    }

    /** Returns whether something happens within a time. */
    static boolean holdsWithin(long durationMs, BooleanSupplier happened) {
        long untilNs = System.nanoTime() + durationMs * 1_000_000;
        while (!happened.getAsBoolean()) {
            if (System.nanoTime() >= untilNs) {
                return false;
            }
            pause(LOOK_MS);
        }
        return true;
    }

    static <T> T value(String event, Supplier<T> source) {
        Object[] found = new Object[1];
        until(event, () -> {
            found[0] = source.get();
            return found[0] != null;
        });
        @SuppressWarnings("unchecked")
        T value = (T) found[0];
        return value;
    }

    /** Lets a stated time of the promise pass, where the promise is about time. */
    static void pause(long durationMs) {
        try {
            Thread.sleep(durationMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}

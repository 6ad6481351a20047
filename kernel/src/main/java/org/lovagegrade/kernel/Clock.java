package org.lovagegrade.kernel;

/**
 * A source of time in milliseconds.
 *
 * <p>Example: {@code long startedAtMs = Clock.monotonic().nowMs();}
 */
@FunctionalInterface
public interface Clock {
    /** The number of nanoseconds in one millisecond. */
    long NANOS_PER_MS = 1_000_000L;

    /**
     * Tells the present time.
     *
     * @return the time in milliseconds since this clock's own origin
     */
    long nowMs();

    /**
     * A clock that never goes back, for leases and timeouts.
     *
     * @return a clock whose origin is arbitrary, but the same within one process
     */
    static Clock monotonic() {
        return () -> System.nanoTime() / NANOS_PER_MS;
    }

    /**
     * A clock that tells the time of day, for records that people read.
     *
     * @return a clock that counts from the Unix epoch
     */
    static Clock wall() {
        return System::currentTimeMillis;
    }
}

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
     * Returns the current time.
     *
     * @return the time in milliseconds since this clock's origin
     */
    long nowMs();

    /**
     * Returns a clock that never goes backwards, for leases and timeouts.
     *
     * @return a clock with an arbitrary origin, which is the same for all monotonic clocks of one process
     */
    static Clock monotonic() {
        return () -> System.nanoTime() / NANOS_PER_MS;
    }

    /**
     * Returns a clock that follows the system time, for timestamps in logs and stored records.
     *
     * @return a clock whose origin is the Unix epoch; it may jump when the system time is adjusted
     */
    static Clock wall() {
        return System::currentTimeMillis;
    }
}

package org.lovagegrade.kernel;

/**
 * A part of a program that holds resources between its start and its stop.
 *
 * <p>Example: {@code kernel.register(httpServer).start();}
 */
public interface Service {
    /**
     * Returns the name under which this service is registered.
     *
     * @return a name that is unique within one kernel
     */
    String name();

    /** Acquires the resources of this service; called once. */
    void start();

    /** Releases the resources of this service; called once, also when a service registered later fails to start. */
    void stop();
}

package org.lovagegrade.kernel;

/**
 * A part of a program that owns resources between its start and its stop.
 *
 * <p>Example: {@code kernel.register(httpServer).start();}
 */
public interface Service {
    /**
     * The name by which other services find this one.
     *
     * @return a name that is unique within one kernel
     */
    String name();

    /** Takes the resources of this service; called once. */
    void start();

    /** Gives back the resources of this service; called once, also after a failed start of a later service. */
    void stop();
}

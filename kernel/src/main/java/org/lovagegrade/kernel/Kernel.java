package org.lovagegrade.kernel;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The micro-kernel: holds the services of one program, starts them in order and stops them in reverse.
 *
 * <p>Example:
 *
 * <pre>{@code
 * Kernel kernel = Kernel.empty().register(storage).register(server);
 * kernel.start();
 * }</pre>
 */
public final class Kernel {
    private final Map<String, Service> services = new LinkedHashMap<>();
    private final Deque<Service> started = new ArrayDeque<>();

    private Kernel() {}

    /**
     * Creates a kernel without services.
     *
     * @return the new kernel
     */
    public static Kernel empty() {
        return new Kernel();
    }

    /**
     * Adds a service under its name.
     *
     * @param service the service to add; started after those added before it
     * @return this kernel
     * @throws IllegalStateException if the name is taken
     */
    public Kernel register(Service service) {
        Service former = services.putIfAbsent(service.name(), service);
        if (former != null) {
            throw new IllegalStateException("expected: a free service name\n  actual: '" + service.name()
                    + "' is taken\n context: services " + services.keySet());
        }
        return this;
    }

    /**
     * Finds a service by its name.
     *
     * @param name the name of the service
     * @param type the type that the caller expects
     * @param <T> the type that the caller expects
     * @return the service
     * @throws IllegalStateException if there is no such service or it is of another type
     */
    public <T> T find(String name, Class<T> type) {
        Service service = services.get(name);
        if (!type.isInstance(service)) {
            throw new IllegalStateException("expected: service '" + name + "' of type " + type.getSimpleName()
                    + "\n  actual: " + service + "\n context: services " + services.keySet());
        }
        return type.cast(service);
    }

    /**
     * Starts all services in the order of their registration.
     *
     * @return this kernel
     * @throws RuntimeException that a service threw; the services started before it are stopped
     */
    public Kernel start() {
        try {
            for (Service service : services.values()) {
                service.start();
                started.push(service);
            }
        } catch (RuntimeException e) {
            stop();
            throw e;
        }
        return this;
    }

    /** Stops the started services in reverse order; a service that fails to stop does not keep the others. */
    public void stop() {
        while (!started.isEmpty()) {
            Service service = started.pop();
            try {
                service.stop();
            } catch (RuntimeException e) {
                org.lovagegrade.kernel.logging.Log.event("serviceStopFailed")
                        .with("service", service.name())
                        .with("error", e.toString())
                        .warn();
            }
        }
    }
}

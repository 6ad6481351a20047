package org.lovagegrade.kernel;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The service container of one program: starts its services in the order of registration and stops them in reverse.
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
     * Registers a service under its name.
     *
     * @param service the service; started after those registered before it
     * @return this kernel
     * @throws IllegalStateException if a service of that name is registered already
     */
    public Kernel register(Service service) {
        Service existing = services.putIfAbsent(service.name(), service);
        if (existing != null) {
            throw new IllegalStateException("service '" + service.name()
                    + "' is registered already; registered services: " + services.keySet());
        }
        return this;
    }

    /**
     * Returns the service registered under a name.
     *
     * @param name the name of the service
     * @param type the expected type
     * @param <T> the expected type
     * @return the service
     * @throws IllegalStateException if no service has that name, or if it is of another type
     */
    public <T> T find(String name, Class<T> type) {
        Service service = services.get(name);
        if (!type.isInstance(service)) {
            throw new IllegalStateException("expected service '" + name + "' of type " + type.getSimpleName()
                    + ", found: " + service + "; registered services: " + services.keySet());
        }
        return type.cast(service);
    }

    /**
     * Starts all services in the order of their registration.
     *
     * @return this kernel
     * @throws RuntimeException if a service fails to start; the services started before it are stopped first
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

    /** Stops the started services in reverse order; a failure to stop one is logged, and the others are still stopped. */
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

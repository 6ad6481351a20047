package org.lovagegrade.entry.http;

import java.util.function.Consumer;
import org.lovagegrade.kernel.settings.SettingsException;

/** Handles one kind of HTTP request on the entry's loop. */
@FunctionalInterface
interface ApiHandler {
    /**
     * Handles a request.
     *
     * @param request the request
     * @param reply receives the response exactly once
     * @throws SettingsException if the body is malformed; the request did not run
     */
    void handle(ApiRequest request, Consumer<ApiResponse> reply) throws SettingsException;
}

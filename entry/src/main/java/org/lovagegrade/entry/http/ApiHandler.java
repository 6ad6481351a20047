package org.lovagegrade.entry.http;

import java.util.function.Consumer;
import org.lovagegrade.kernel.settings.SettingsException;

/** Answers one kind of request; runs on the entry's loop. */
@FunctionalInterface
interface ApiHandler {
    /**
     * Answers.
     *
     * @param request the request
     * @param reply takes the answer, once
     * @throws SettingsException if the body is malformed; the request did not run
     */
    void handle(ApiRequest request, Consumer<ApiResponse> reply) throws SettingsException;
}

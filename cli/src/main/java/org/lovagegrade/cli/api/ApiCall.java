package org.lovagegrade.cli.api;

import java.util.ArrayList;
import java.util.List;
import org.lovagegrade.kernel.http.HttpHeader;

/**
 * A request to an entry; immutable.
 *
 * <p>Example: {@code ApiCall.put("/v1/workspaces/norte").with("Lovagegrade-Base-Revision", "0").withBody(json)}
 *
 * @param method the HTTP method
 * @param path the path and query
 * @param headers the headers
 * @param body the body
 * @param mayResend whether it may be sent twice without harm
 */
public record ApiCall(String method, String path, List<HttpHeader> headers, String body, boolean mayResend) {
    /**
     * A question.
     *
     * @param path the path and query
     * @return the request
     */
    public static ApiCall get(String path) {
        return new ApiCall("GET", path, List.of(), "", true);
    }

    /**
     * A request of any method that must not be sent twice.
     *
     * @param method the HTTP method
     * @param path the path and query
     * @return the request
     */
    public static ApiCall once(String method, String path) {
        return new ApiCall(method, path, List.of(), "", false);
    }

    /**
     * A command that carries a request id.
     *
     * @param method the HTTP method
     * @param path the path and query
     * @param requestId the id by which resends are told
     * @return the request
     */
    public static ApiCall command(String method, String path, String requestId) {
        return new ApiCall(method, path, List.of(), "", true).with("Lovagegrade-Request-Id", requestId);
    }

    /**
     * Adds a header, unless its value is empty.
     *
     * @param name the name
     * @param value the value
     * @return the changed request
     */
    public ApiCall with(String name, String value) {
        if (value.isEmpty()) {
            return this;
        }
        List<HttpHeader> more = new ArrayList<>(headers);
        more.add(new HttpHeader(name, value));
        return new ApiCall(method, path, List.copyOf(more), body, mayResend);
    }

    /**
     * Sets the body.
     *
     * @param text the body
     * @return the changed request
     */
    public ApiCall withBody(String text) {
        return new ApiCall(method, path, headers, text, mayResend);
    }
}

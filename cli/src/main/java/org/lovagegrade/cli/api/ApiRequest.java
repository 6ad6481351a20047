package org.lovagegrade.cli.api;

import java.util.ArrayList;
import java.util.List;
import org.lovagegrade.kernel.http.HttpHeader;

/**
 * A request to the HTTP API of an entry; immutable.
 *
 * <p>Example: {@code ApiRequest.command("PUT", "/v1/teams/norte", requestId).withBody(json)}
 *
 * @param method the HTTP method
 * @param path the path and query
 * @param headers the headers
 * @param body the body
 * @param retryable whether it may safely be sent more than once
 */
public record ApiRequest(String method, String path, List<HttpHeader> headers, String body, boolean retryable) {
    /**
     * Creates a request that only reads.
     *
     * @param path the path and query
     * @return the request
     */
    public static ApiRequest get(String path) {
        return new ApiRequest("GET", path, List.of(), "", true);
    }

    /**
     * Creates a request that must not be sent more than once.
     *
     * @param method the HTTP method
     * @param path the path and query
     * @return the request
     */
    public static ApiRequest notRetryable(String method, String path) {
        return new ApiRequest(method, path, List.of(), "", false);
    }

    /**
     * Creates a command with a request id, which makes it safe to retry.
     *
     * @param method the HTTP method
     * @param path the path and query
     * @param requestId the id that identifies retries of the command
     * @return the request
     */
    public static ApiRequest command(String method, String path, String requestId) {
        return new ApiRequest(method, path, List.of(), "", true).withHeader("Lovagegrade-Request-Id", requestId);
    }

    /**
     * Returns this request with one more header, or unchanged if the value is empty.
     *
     * @param name the name
     * @param value the value
     * @return the new request
     */
    public ApiRequest withHeader(String name, String value) {
        if (value.isEmpty()) {
            return this;
        }
        List<HttpHeader> extendedHeaders = new ArrayList<>(headers);
        extendedHeaders.add(new HttpHeader(name, value));
        return new ApiRequest(method, path, List.copyOf(extendedHeaders), body, retryable);
    }

    /**
     * Returns this request with a body.
     *
     * @param newBody the body
     * @return the new request
     */
    public ApiRequest withBody(String newBody) {
        return new ApiRequest(method, path, headers, newBody, retryable);
    }
}

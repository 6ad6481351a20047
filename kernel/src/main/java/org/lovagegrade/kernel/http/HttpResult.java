package org.lovagegrade.kernel.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** The result of one HTTP request. */
public sealed interface HttpResult {
    /** The reason why no complete response was received. */
    enum FailureCause {
        /** The connection failed before a response was received. */
        CONNECTION_LOST,
        /** The response ended before its declared length. */
        ANSWER_CUT_SHORT,
        /** The response has neither a length nor chunked encoding, so that a truncated body could not be detected. */
        ANSWER_WITHOUT_LENGTH,
        /** The response is larger than the limit. */
        ANSWER_TOO_LARGE,
        /** The caller stopped waiting, usually after a timeout. */
        ABANDONED
    }

    /**
     * The server sent a complete response.
     *
     * @param status the HTTP status code
     * @param headers the response headers
     * @param body the response body, read-only
     */
    record Answered(int status, List<HttpHeader> headers, ByteBuffer body) implements HttpResult {
        /**
         * Decodes the body as UTF-8.
         *
         * @return the body as text
         */
        public String text() {
            return StandardCharsets.UTF_8.decode(body.duplicate()).toString();
        }

        /**
         * Returns the value of a header.
         *
         * @param name the name of the header; case is ignored
         * @return the first value, or an empty string if the header is absent
         */
        public String header(String name) {
            return headers.stream()
                    .filter(header -> header.name().equalsIgnoreCase(name))
                    .map(HttpHeader::value)
                    .findFirst()
                    .orElse("");
        }
    }

    /** No byte of the request was sent, so the server can't have executed it. */
    record NotSent() implements HttpResult {}

    /**
     * The request may have been sent, but no complete response was received; the server may have executed it.
     *
     * @param cause why there is no complete response
     */
    record Lost(FailureCause cause) implements HttpResult {}
}

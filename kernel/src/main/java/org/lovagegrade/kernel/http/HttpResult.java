package org.lovagegrade.kernel.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** What became of one request on one connection. */
public sealed interface HttpResult {
    /** Why no whole answer came. */
    enum Loss {
        /** The connection broke. */
        CONNECTION_LOST,
        /** The answer ended before its length. */
        ANSWER_CUT_SHORT,
        /** The answer does not say where it ends, so that a cut would not be seen. */
        ANSWER_WITHOUT_LENGTH,
        /** The answer is larger than allowed. */
        ANSWER_TOO_LARGE,
        /** The caller gave up. */
        ABANDONED
    }

    /**
     * The whole answer.
     *
     * @param status the HTTP status
     * @param headers the headers
     * @param body the body, read-only
     */
    record Whole(int status, List<HttpHeader> headers, ByteBuffer body) implements HttpResult {
        /**
         * Reads the body as text.
         *
         * @return the body in UTF-8
         */
        public String text() {
            return StandardCharsets.UTF_8.decode(body.duplicate()).toString();
        }

        /**
         * Finds a header.
         *
         * @param name its name in any case
         * @return its first value, or an empty text
         */
        public String header(String name) {
            return headers.stream()
                    .filter(header -> header.name().equalsIgnoreCase(name))
                    .map(HttpHeader::value)
                    .findFirst()
                    .orElse("");
        }
    }

    /** No byte of the request left this process. */
    record NotSent() implements HttpResult {}

    /**
     * The request may have arrived.
     *
     * @param loss why there is no whole answer
     */
    record Lost(Loss loss) implements HttpResult {}
}

package org.lovagegrade.entry.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.ByteString;
import io.undertow.util.StatusCodes;
import java.util.ArrayList;
import java.util.List;
import org.lovagegrade.wire.proto.HeaderProto;

/**
 * A response to an HTTP request.
 *
 * @param httpStatus the HTTP status code
 * @param outcome {@code answered}, {@code not-run} or {@code unknown}
 * @param headers further headers
 * @param body the body
 */
record ApiResponse(int httpStatus, String outcome, List<HeaderProto> headers, ByteString body) {
    static final String ANSWERED = "answered";
    static final String NOT_RUN = "not-run";
    static final String UNKNOWN = "unknown";

    private static final long MS_PER_S = 1_000;
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final HeaderProto JSON_TYPE = HeaderProto.newBuilder()
            .setName("Content-Type")
            .setValue("application/json")
            .build();

    static ObjectNode object() {
        return JSON.createObjectNode();
    }

    static ApiResponse json(int httpStatus, String outcome, ObjectNode body) {
        try {
            return new ApiResponse(
                    httpStatus,
                    outcome,
                    List.of(JSON_TYPE),
                    ByteString.copyFrom(JSON.writeValueAsBytes(body)).concat(ByteString.copyFromUtf8("\n")));
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("expected: a JSON object", e);
        }
    }

    static ApiResponse ok(ObjectNode body) {
        return json(StatusCodes.OK, ANSWERED, body);
    }

    /** Creates the response to a request that did not run and will not run. */
    static ApiResponse refused(int httpStatus, String reason, String detail) {
        return error(httpStatus, NOT_RUN, reason, detail);
    }

    /** Adds when to send the request again, in whole seconds, rounded up; 0 ms adds nothing. */
    ApiResponse withRetryAfterMs(long retryAfterMs) {
        if (retryAfterMs == 0) {
            return this;
        }
        List<HeaderProto> extendedHeaders = new ArrayList<>(headers);
        extendedHeaders.add(HeaderProto.newBuilder()
                .setName("Retry-After")
                .setValue("" + (retryAfterMs + MS_PER_S - 1) / MS_PER_S)
                .build());
        return new ApiResponse(httpStatus, outcome, List.copyOf(extendedHeaders), body);
    }

    /** Creates the response to a request that may have run. */
    static ApiResponse unknown(String reason, String detail) {
        return error(StatusCodes.GATEWAY_TIME_OUT, UNKNOWN, reason, detail);
    }

    private static ApiResponse error(int httpStatus, String outcome, String reason, String detail) {
        return json(
                httpStatus,
                outcome,
                object().put("outcome", outcome).put("reason", reason).put("detail", detail));
    }
}

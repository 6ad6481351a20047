package org.lovagegrade.entry.calls;

import com.google.protobuf.ByteString;
import java.util.List;
import org.lovagegrade.wire.proto.HeaderProto;

/**
 * A synchronous call from a client that waits for the response.
 *
 * @param id the call's id, unique in the fleet
 * @param workspace the id of the workspace to which it is charged
 * @param workClass the id of its work class
 * @param service the service that it calls
 * @param method the HTTP method
 * @param path the path and query string sent to the endpoint
 * @param headers the headers sent to the endpoint
 * @param body the complete request body
 * @param idempotent whether it may run more than once
 * @param deadlineMs when the client stops waiting, in milliseconds on the monotonic clock
 * @param startByMs the latest time to send it to an endpoint, in milliseconds on the monotonic clock
 */
public record CallRequest(
        String id,
        String workspace,
        String workClass,
        String service,
        String method,
        String path,
        List<HeaderProto> headers,
        ByteString body,
        boolean idempotent,
        long deadlineMs,
        long startByMs) {}

package org.lovagegrade.entry.calls;

import com.google.protobuf.ByteString;
import java.util.List;
import org.lovagegrade.wire.proto.HeaderProto;

/**
 * A call of someone who waits.
 *
 * @param id the call's id, unique in the fleet
 * @param workspace the workspace that it is accounted to
 * @param workClass the class of work that it belongs to
 * @param service the service that is to answer it
 * @param method the HTTP method
 * @param path the path and query for the endpoint
 * @param headers the headers for the endpoint
 * @param body the whole body
 * @param idempotent whether it may run more than once
 * @param deadlineMs when its caller stops waiting, on the monotonic clock in milliseconds
 * @param startByMs when it must have been sent to an endpoint, on the monotonic clock in milliseconds
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

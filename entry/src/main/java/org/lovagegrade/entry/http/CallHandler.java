package org.lovagegrade.entry.http;

import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.function.Consumer;
import org.lovagegrade.entry.calls.CallOutcome;
import org.lovagegrade.entry.calls.CallRefusal;
import org.lovagegrade.entry.calls.CallRequest;
import org.lovagegrade.entry.calls.CallService;
import org.lovagegrade.entry.view.ConfigView;
import org.lovagegrade.entry.view.ViewKeeper;
import org.lovagegrade.kernel.Clock;
import org.lovagegrade.kernel.KeyDigest;
import org.lovagegrade.kernel.logging.Log;
import org.lovagegrade.wire.proto.HeaderProto;
import org.lovagegrade.wire.proto.WorkClassProto;
import org.lovagegrade.wire.proto.WorkspaceKeyProto;

/** Handles calls: verifies the key before anything is forwarded, and converts the outcome to a response. */
final class CallHandler {
    private static final String PREFIX = "/v1/call/";
    private static final long DEFAULT_DEADLINE_MS = 10_000;
    private static final long MAX_DEADLINE_MS = 30_000;
    private static final Set<HttpString> HEADERS_NOT_FORWARDED = Set.of(
            Headers.HOST,
            Headers.CONNECTION,
            Headers.CONTENT_LENGTH,
            Headers.TRANSFER_ENCODING,
            Headers.UPGRADE,
            Headers.EXPECT,
            ApiHeaders.KEY,
            ApiHeaders.OPERATOR_KEY,
            ApiHeaders.OPERATOR,
            ApiHeaders.CLASS,
            ApiHeaders.IDEMPOTENT,
            ApiHeaders.DEADLINE_MS);

    private final CallService calls;
    private final ViewKeeper views;
    private final Clock clock;

    CallHandler(CallService calls, ViewKeeper views, Clock clock) {
        this.calls = calls;
        this.views = views;
        this.clock = clock;
    }

    void call(ApiRequest request, Consumer<ApiResponse> reply) {
        ConfigView view = views.view();
        Optional<WorkClassProto> workClass = view.workClass(request.header(ApiHeaders.CLASS));
        if (workClass.isEmpty()) {
            CallRefusal reason = view.revision() == 0 ? CallRefusal.VIEW_LEASE_EXPIRED : CallRefusal.UNKNOWN_CLASS;
            refuse(reason, reply);
            return;
        }
        String digest = KeyDigest.of(request.header(ApiHeaders.KEY));
        boolean usesOpenWorkspace =
                digest.isEmpty() && !workClass.get().getOpenWorkspace().isEmpty();
        if (!usesOpenWorkspace && !views.hasValidLease()) {
            refuse(CallRefusal.VIEW_LEASE_EXPIRED, reply);
            return;
        }
        Optional<WorkspaceKeyProto> key = view.key(digest);
        if (!usesOpenWorkspace && key.isEmpty()) {
            refuse(CallRefusal.WRONG_KEY, reply);
            return;
        }
        String workspace = usesOpenWorkspace
                ? workClass.get().getOpenWorkspace()
                : key.get().getWorkspace();
        String deadline = request.header(ApiHeaders.DEADLINE_MS);
        if (!deadline.isEmpty() && !deadline.matches("[1-9][0-9]{0,8}")) {
            refuse(CallRefusal.BAD_REQUEST, reply);
            return;
        }
        CallRequest call = toCall(request, workspace, workClass.get(), deadline);
        Log.event("keyUse")
                .with("key", key.map(WorkspaceKeyProto::getId).orElse(""))
                .with("team", workspace)
                .with("call", call.id())
                .info();
        calls.submit(call, outcome -> reply.accept(toResponse(outcome)));
    }

    private void refuse(CallRefusal reason, Consumer<ApiResponse> reply) {
        calls.countRefusal(reason);
        Log.event("refusal").with("reason", reason.text()).info();
        reply.accept(ApiResponse.refused(statusFor(reason), reason.text(), "the call did not run"));
    }

    private CallRequest toCall(ApiRequest request, String workspace, WorkClassProto workClass, String deadline) {
        long nowMs = clock.nowMs();
        long timeoutMs = deadline.isEmpty() ? DEFAULT_DEADLINE_MS : Long.parseLong(deadline);
        long deadlineMs = nowMs + Math.min(timeoutMs, MAX_DEADLINE_MS);
        long startByMs =
                workClass.hasWaitTargetMs() ? Math.min(deadlineMs, nowMs + workClass.getWaitTargetMs()) : deadlineMs;
        String service = request.pathParameter("service");
        String remainingPath = request.exchange().getRequestURI().substring(PREFIX.length() + service.length());
        String query = request.exchange().getQueryString();
        HttpString method = request.exchange().getRequestMethod();
        return new CallRequest(
                UUID.randomUUID().toString(),
                workspace,
                workClass.getId(),
                service,
                method.toString(),
                (remainingPath.isEmpty() ? "/" : remainingPath) + (query.isEmpty() ? "" : "?" + query),
                forwardedHeaders(request),
                request.body(),
                isIdempotent(request, method),
                deadlineMs,
                startByMs);
    }

    private static boolean isIdempotent(ApiRequest request, HttpString method) {
        String declared = request.header(ApiHeaders.IDEMPOTENT);
        boolean isIdempotentMethod = method.equals(Methods.GET) || method.equals(Methods.HEAD);
        return declared.isEmpty() ? isIdempotentMethod : declared.equals("true");
    }

    private static List<HeaderProto> forwardedHeaders(ApiRequest request) {
        List<HeaderProto> headers = new ArrayList<>();
        for (HeaderValues values : request.exchange().getRequestHeaders()) {
            if (HEADERS_NOT_FORWARDED.contains(values.getHeaderName())) {
                continue;
            }
            for (String value : values) {
                headers.add(HeaderProto.newBuilder()
                        .setName(values.getHeaderName().toString())
                        .setValue(value)
                        .build());
            }
        }
        return headers;
    }

    private static ApiResponse toResponse(CallOutcome outcome) {
        if (outcome instanceof CallOutcome.Answered answered) {
            return new ApiResponse(answered.httpStatus(), ApiResponse.ANSWERED, answered.headers(), answered.body());
        }
        if (outcome instanceof CallOutcome.NotRun notRun) {
            return ApiResponse.refused(
                    statusFor(notRun.reason()), notRun.reason().text(), "the call did not run");
        }
        return ApiResponse.unknown(
                ((CallOutcome.Unknown) outcome).reason().text(), "the call may have run; ask before sending it again");
    }

    private static int statusFor(CallRefusal reason) {
        return switch (reason) {
            case WRONG_KEY -> StatusCodes.UNAUTHORIZED;
            case UNKNOWN_CLASS, BAD_REQUEST -> StatusCodes.BAD_REQUEST;
            case BODY_TOO_LARGE -> StatusCodes.REQUEST_ENTITY_TOO_LARGE;
            case WORKSPACE_AT_LIMIT, LINE_FULL -> StatusCodes.TOO_MANY_REQUESTS;
            default -> StatusCodes.SERVICE_UNAVAILABLE;
        };
    }
}

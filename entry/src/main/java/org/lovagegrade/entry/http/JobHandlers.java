package org.lovagegrade.entry.http;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.util.StatusCodes;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Consumer;
import org.lovagegrade.entry.calls.CallRefusal;
import org.lovagegrade.entry.calls.CallService;
import org.lovagegrade.entry.view.ViewKeeper;
import org.lovagegrade.kernel.Clock;
import org.lovagegrade.kernel.KeyDigest;
import org.lovagegrade.kernel.logging.Log;
import org.lovagegrade.kernel.settings.Settings;
import org.lovagegrade.kernel.settings.SettingsException;
import org.lovagegrade.wire.proto.CancelProto;
import org.lovagegrade.wire.proto.CommandProto;
import org.lovagegrade.wire.proto.ExplainProto;
import org.lovagegrade.wire.proto.JobProto;
import org.lovagegrade.wire.proto.JobSpecProto;
import org.lovagegrade.wire.proto.QueryKindProto;
import org.lovagegrade.wire.proto.QueryReplyProto;
import org.lovagegrade.wire.proto.QueryRequestProto;
import org.lovagegrade.wire.proto.ResourcesProto;
import org.lovagegrade.wire.proto.SubmitProto;
import org.lovagegrade.wire.proto.TaskProto;
import org.lovagegrade.wire.proto.TaskStateProto;
import org.lovagegrade.wire.proto.WorkspaceKeyProto;

/** Handles the submission, cancellation, listing and explanation of jobs. */
final class JobHandlers {
    private static final int MAX_TASKS = 10_000;
    private static final double MAX_CORES = 1e6;
    private static final double MILLI_CORES_PER_CORE = 1_000;
    private static final long MAX_AMOUNT = 1L << 40;
    private static final long MAX_RUN_MS = 365L * 24 * 3_600 * 1_000;

    private final LeaderGateway leader;
    private final OperatorKeys operatorKeys;
    private final ViewKeeper views;
    private final CallService calls;
    private final Clock wallClock = Clock.wall();

    JobHandlers(LeaderGateway leader, OperatorKeys operatorKeys, ViewKeeper views, CallService calls) {
        this.leader = leader;
        this.operatorKeys = operatorKeys;
        this.views = views;
        this.calls = calls;
    }

    void submit(ApiRequest request, Consumer<ApiResponse> reply) throws SettingsException {
        String requestId = request.header(ApiHeaders.REQUEST_ID);
        if (!Ids.isValid(requestId)) {
            reply.accept(ApiResponse.refused(
                    StatusCodes.BAD_REQUEST,
                    "badRequest",
                    "expected: a request id of " + Ids.FORMAT + "; actual: '" + requestId + "'"));
            return;
        }
        JobSpecProto.Builder spec = readSpec(request.json());
        if (spec.getId().isEmpty()) {
            spec.setId(requestId);
        }
        String digest = KeyDigest.of(request.header(ApiHeaders.KEY));
        Optional<ApiResponse> refusal = checkKey(spec, digest);
        if (refusal.isPresent()) {
            reply.accept(refusal.get());
            return;
        }
        Log.event("submit")
                .with("job", spec.getId())
                .with("team", spec.getWorkspace())
                .with("requestId", requestId)
                .info();
        SubmitProto submit =
                SubmitProto.newBuilder().setSpec(spec).setKeySha256(digest).build();
        leader.send(
                CommandProto.newBuilder()
                        .setRequestId(requestId)
                        .setSubmit(submit)
                        .build(),
                reply);
    }

    void cancel(ApiRequest request, Consumer<ApiResponse> reply) {
        String requestId = request.header(ApiHeaders.REQUEST_ID);
        if (!Ids.isValid(requestId)) {
            reply.accept(ApiResponse.refused(
                    StatusCodes.BAD_REQUEST, "badRequest", "expected: a request id of " + Ids.FORMAT));
            return;
        }
        CancelProto.Builder cancel = CancelProto.newBuilder()
                .setJob(request.pathParameter("id"))
                .setKeySha256(KeyDigest.of(request.header(ApiHeaders.KEY)));
        if (operatorKeys.isOperator(request)) {
            cancel.setOperator(operatorKeys.nameOf(request));
        }
        leader.send(
                CommandProto.newBuilder()
                        .setRequestId(requestId)
                        .setCancel(cancel)
                        .build(),
                reply);
    }

    void list(ApiRequest request, Consumer<ApiResponse> reply) {
        leader.query(query(request, QueryKindProto.QUERY_JOBS), JobHandlers::describeAll, reply);
    }

    void show(ApiRequest request, Consumer<ApiResponse> reply) {
        leader.query(
                query(request, QueryKindProto.QUERY_JOB),
                queryReply -> ApiResponse.ok(describe(queryReply.getJobs(0), ApiResponse.object(), true)),
                reply);
    }

    void explain(ApiRequest request, Consumer<ApiResponse> reply) {
        leader.query(query(request, QueryKindProto.QUERY_EXPLAIN), JobHandlers::describeExplanation, reply);
    }

    private QueryRequestProto query(ApiRequest request, QueryKindProto kind) {
        return QueryRequestProto.newBuilder()
                .setKind(kind)
                .setJob(request.pathParameter("id"))
                .setKeySha256(KeyDigest.of(request.header(ApiHeaders.KEY)))
                .setOperator(operatorKeys.isOperator(request))
                .build();
    }

    private JobSpecProto.Builder readSpec(Settings body) throws SettingsException {
        String id = body.optionalText("id", Ids.FORMAT).orElse("");
        if (!id.isEmpty() && !Ids.isValid(id)) {
            body.reject("id", id, Ids.FORMAT);
        }
        String workspace = body.optionalText("team", "a team's id").orElse("");
        String workClass = body.text("class", "a class's id");
        int tasks = body.integer("tasks", 1, 1, MAX_TASKS, "tasks");
        double cores = body.optionalDouble("cores", 0, MAX_CORES, "cores").orElse(0);
        long memoryMb =
                body.optionalLong("memoryMb", 0, MAX_AMOUNT, "megabytes").orElse(0);
        long accelerators =
                body.optionalLong("accelerators", 0, MAX_AMOUNT, "accelerators").orElse(0);
        long declaredRunMs = body.optionalLong("declaredRunMs", 0, MAX_RUN_MS, "milliseconds")
                .orElse(0);
        String payload = body.optionalText("payload", "a text for the worker").orElse("");
        if (cores == 0 && memoryMb == 0 && accelerators == 0) {
            body.reject("cores", "0", "cores, memoryMb or accelerators above 0");
        }
        body.throwIfInvalid();
        ResourcesProto perTask = ResourcesProto.newBuilder()
                .setMilliCores(Math.round(cores * MILLI_CORES_PER_CORE))
                .setMemoryMb(memoryMb)
                .setAccelerators(accelerators)
                .build();
        return JobSpecProto.newBuilder()
                .setId(id)
                .setWorkspace(workspace)
                .setWorkClass(workClass)
                .setTasks(tasks)
                .setPerTask(perTask)
                .setDeclaredRunMs(declaredRunMs)
                .setPayload(payload)
                .setSubmittedAtMs(wallClock.nowMs());
    }

    /**
     * Refuses a job without a valid key before it is sent to the leader. A job that names no workspace gets that of its
     * key or the open workspace of its class.
     */
    private Optional<ApiResponse> checkKey(JobSpecProto.Builder spec, String digest) {
        String openWorkspace = views.view()
                .workClass(spec.getWorkClass())
                .map(found -> found.getOpenWorkspace())
                .orElse("");
        if (digest.isEmpty() && !openWorkspace.isEmpty()) {
            if (spec.getWorkspace().isEmpty()) {
                spec.setWorkspace(openWorkspace);
            }
            return Optional.empty();
        }
        if (!views.hasValidLease()) {
            return Optional.of(refuse(
                    spec,
                    CallRefusal.VIEW_LEASE_EXPIRED,
                    StatusCodes.SERVICE_UNAVAILABLE,
                    "this entry has no proof of the keys in force; try another"));
        }
        Optional<WorkspaceKeyProto> key = views.view().key(digest);
        if (key.isEmpty()) {
            return Optional.of(
                    refuse(spec, CallRefusal.WRONG_KEY, StatusCodes.UNAUTHORIZED, "expected: a key in force"));
        }
        if (spec.getWorkspace().isEmpty()) {
            spec.setWorkspace(key.get().getWorkspace());
        }
        Log.event("keyUse")
                .with("key", key.get().getId())
                .with("team", key.get().getWorkspace())
                .with("job", spec.getId())
                .info();
        return Optional.empty();
    }

    private ApiResponse refuse(JobSpecProto.Builder spec, CallRefusal reason, int httpStatus, String detail) {
        calls.countRefusal(reason);
        Log.event("refusal")
                .with("job", spec.getId())
                .with("reason", reason.text())
                .info();
        return ApiResponse.refused(httpStatus, reason.text(), detail);
    }

    private static ApiResponse describeAll(QueryReplyProto queryReply) {
        ObjectNode body = ApiResponse.object();
        ArrayNode jobs = body.putArray("jobs");
        queryReply.getJobsList().forEach(job -> describe(job, jobs.addObject(), false));
        return ApiResponse.ok(body);
    }

    private static ObjectNode describe(JobProto job, ObjectNode node, boolean includeTasks) {
        JobSpecProto spec = job.getSpec();
        long ended = job.getTasksList().stream()
                .filter(task -> task.getState() == TaskStateProto.TASK_ENDED)
                .count();
        long running = job.getTasksList().stream()
                .filter(task -> task.getState() == TaskStateProto.TASK_HELD)
                .count();
        node.put("id", spec.getId())
                .put("team", spec.getWorkspace())
                .put("class", spec.getWorkClass())
                .put("state", job.getState().name().toLowerCase(Locale.ROOT))
                .put("reason", job.getReason())
                .put("tasks", spec.getTasks())
                .put("running", running)
                .put("ended", ended)
                .put("cores", spec.getPerTask().getMilliCores() / MILLI_CORES_PER_CORE)
                .put("memoryMb", spec.getPerTask().getMemoryMb())
                .put("accelerators", spec.getPerTask().getAccelerators());
        if (includeTasks) {
            ArrayNode tasks = node.putArray("taskList");
            job.getTasksList().forEach(task -> describe(task, tasks.addObject()));
        }
        return node;
    }

    private static void describe(TaskProto task, ObjectNode node) {
        String state = switch (task.getState()) {
            case TASK_HELD -> task.getStopping() ? "stopping" : "running";
            case TASK_ENDED -> "ended";
            default -> "waiting";
        };
        node.put("index", task.getIndex())
                .put("state", state)
                .put("attempt", task.getAttempt())
                .put("worker", task.getWorker())
                .put("lastReason", task.getLastReason());
    }

    private static ApiResponse describeExplanation(QueryReplyProto queryReply) {
        ExplainProto explain = queryReply.getExplain();
        ObjectNode node = ApiResponse.object()
                .put("id", queryReply.getJobs(0).getSpec().getId())
                .put("reason", explain.getReason())
                .put("text", explain.getText())
                .put("waitedMs", explain.getWaitedMs())
                .put("waitTargetMs", explain.getWaitTargetMs())
                .put("teamShare", explain.getWorkspaceShare())
                .put("teamUse", explain.getWorkspaceUse());
        return ApiResponse.ok(node);
    }
}

package org.lovagegrade.entry.calls;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.lovagegrade.entry.calls.internal.CallQueue;
import org.lovagegrade.entry.calls.internal.PendingCall;
import org.lovagegrade.entry.calls.internal.RetryBudget;
import org.lovagegrade.entry.calls.internal.WorkspaceCallLimiter;
import org.lovagegrade.entry.endpoints.EndpointDirectory;
import org.lovagegrade.entry.endpoints.EndpointResult;
import org.lovagegrade.entry.endpoints.OwnedEndpoint;
import org.lovagegrade.entry.peers.PeerEntries;
import org.lovagegrade.entry.view.ViewKeeper;
import org.lovagegrade.kernel.Clock;
import org.lovagegrade.kernel.EventLoop;
import org.lovagegrade.kernel.Service;
import org.lovagegrade.kernel.logging.Log;
import org.lovagegrade.kernel.metrics.Metrics;
import org.lovagegrade.wire.RpcResult;
import org.lovagegrade.wire.proto.EnvelopeProto;
import org.lovagegrade.wire.proto.PassedCallProto;

/**
 * Serves calls: queues them, sends them to endpoints of this entry or forwards them to other entries, retries failed
 * attempts where that is safe, and reports the outcome to each caller. Must be used on the entry's loop only.
 */
public final class CallService implements Service {
    /** The name of this service. */
    public static final String NAME = "callService";

    private static final String REFUSALS = "lovagegrade_call_refusals";
    private static final String UNKNOWN_OUTCOMES = "lovagegrade_call_doubts";
    private static final String RETRIES = "lovagegrade_call_retries";
    private static final String WAIT_HISTOGRAM = "lovagegrade_call_wait_ms";
    private static final long QUEUE_CHECK_INTERVAL_MS = 20;
    private static final long MAINTENANCE_INTERVAL_MS = 1_000;
    private static final int MAX_QUEUED_CALLS = 4_096;
    private static final int MAX_ATTEMPTS = 5;
    /** The maximum wait in the queue of another entry, a tenth of 5 s, so that slots freed elsewhere are noticed. */
    private static final long MAX_FORWARDED_WAIT_MS = 500;

    private static final long BASE_BACKOFF_MS = 5;
    private static final long MAX_BACKOFF_MS = 200;

    private final EndpointDirectory directory;
    private final PeerEntries peers;
    private final WorkspaceCallLimiter limiter;
    private final RoutingPolicy routing;
    private final EventLoop loop;
    private final Clock clock;
    private final Metrics metrics;
    private final RandomGenerator random;
    private final CallQueue queue = new CallQueue();
    private final RetryBudget budget = new RetryBudget();

    /**
     * Creates the service.
     *
     * @param directory the endpoints that this entry owns
     * @param peers the other entries
     * @param views provides the shares and call grants of workspaces
     * @param routing chooses the target of each call
     * @param loop the entry's loop
     * @param clock a monotonic clock
     * @param metrics counts refusals, unknown outcomes and retries
     * @param random the source of backoff jitter and of random choices
     */
    public CallService(
            EndpointDirectory directory,
            PeerEntries peers,
            ViewKeeper views,
            RoutingPolicy routing,
            EventLoop loop,
            Clock clock,
            Metrics metrics,
            RandomGenerator random) {
        this.directory = directory;
        this.peers = peers;
        this.limiter = new WorkspaceCallLimiter(views);
        this.routing = routing;
        this.loop = loop;
        this.clock = clock;
        this.metrics = metrics.declare(REFUSALS, CallRefusal.class)
                .declare(UNKNOWN_OUTCOMES, UnknownOutcomeReason.class)
                .declare(RETRIES, RetryReason.class);
        this.random = random;
        views.setCallUseSource(() -> limiter.usageReports(queue));
        views.onChange(this::dispatchAll);
        directory.onChange(this::dispatchAll);
    }

    /**
     * Accepts a call whose key has been verified.
     *
     * @param request the call
     * @param caller receives the outcome exactly once, on the loop
     */
    public void submit(CallRequest request, Consumer<CallOutcome> caller) {
        if (queue.size() >= MAX_QUEUED_CALLS) {
            refuse(request, CallRefusal.LINE_FULL, caller);
            return;
        }
        budget.recordFirstAttempt();
        queue.add(new PendingCall(request, caller, clock.nowMs()));
        dispatch(request.service());
    }

    /**
     * Accepts a call that another entry forwarded and sends it to a local endpoint once that has a free slot.
     *
     * <p>It waits in the same queue and order as the calls received here, until {@code startByMs} at the latest.
     *
     * @param request the call
     * @param caller receives the outcome exactly once, on the loop
     */
    public void submitForwarded(CallRequest request, Consumer<CallOutcome> caller) {
        if (queue.size() >= MAX_QUEUED_CALLS) {
            refuse(request, CallRefusal.NO_FREE_SLOT_AT_OWNER, caller);
            return;
        }
        queue.add(PendingCall.forwarded(request, caller, clock.nowMs()));
        dispatch(request.service());
    }

    /**
     * Counts a call that was refused before it was submitted.
     *
     * @param reason why it was refused
     */
    public void countRefusal(CallRefusal reason) {
        metrics.count(REFUSALS, reason);
    }

    /** Accepts no new endpoints from now on and tells the endpoints of this entry to choose another owner. */
    public void leave() {
        directory.leave();
    }

    /**
     * Returns the number of calls that are in flight or queued.
     *
     * @return the number of calls
     */
    public long pendingCalls() {
        return limiter.totalInFlight() + queue.size();
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start() {
        loop.scheduleWithFixedDelay(QUEUE_CHECK_INTERVAL_MS, this::checkQueue);
        loop.scheduleWithFixedDelay(MAINTENANCE_INTERVAL_MS, directory::maintain);
    }

    @Override
    public void stop() {}

    private void checkQueue() {
        long nowMs = clock.nowMs();
        for (PendingCall call : queue.removeOverdue(nowMs)) {
            finish(call, overdueOutcome(call, nowMs));
        }
        dispatchAll();
    }

    private CallOutcome overdueOutcome(PendingCall call, long nowMs) {
        if (call.isForwarded()) {
            return new CallOutcome.NotRun(CallRefusal.NO_FREE_SLOT_AT_OWNER);
        }
        if (call.inDoubtReason() != null) {
            return new CallOutcome.Unknown(call.inDoubtReason());
        }
        if (nowMs >= call.request().deadlineMs()) {
            return new CallOutcome.NotRun(CallRefusal.DEADLINE_PASSED);
        }
        if (!limiter.mayStart(call.request().workspace())) {
            return new CallOutcome.NotRun(CallRefusal.WORKSPACE_AT_LIMIT);
        }
        boolean hasTarget = !targets(call.request().service()).isEmpty();
        return new CallOutcome.NotRun(hasTarget ? CallRefusal.NO_SLOT_IN_TIME : CallRefusal.NO_ENDPOINT);
    }

    private void dispatchAll() {
        queue.services().forEach(this::dispatch);
    }

    private void dispatch(String service) {
        Optional<RoutingPolicy.Target> target = chooseTarget(service);
        while (target.isPresent()) {
            boolean isLocal = target.get().isLocal();
            PendingCall call = queue.takeNext(service, isLocal, this::mayStart, limiter::shareUtilization);
            if (call == null) {
                return;
            }
            attempt(call, targetFor(call, target.get()));
            target = chooseTarget(service);
        }
        queueAtPeers(service);
    }

    private boolean mayStart(PendingCall call) {
        return call.isForwarded()
                || call.isAdmitted()
                || limiter.mayStart(call.request().workspace());
    }

    /**
     * Forwards queued calls to other entries although no target is known to have a free slot, so that they do not
     * starve here. This applies to all calls if this entry has no endpoint for the service, otherwise to those that
     * have waited for more than half of the time until their latest start.
     */
    private void queueAtPeers(String service) {
        List<String> owners = List.copyOf(peers.freeSlots(service).keySet());
        if (owners.isEmpty()) {
            return;
        }
        boolean servesNoneLocally = directory.serving(service).isEmpty();
        long nowMs = clock.nowMs();
        Predicate<PendingCall> mayForward = call -> mayStart(call) && (servesNoneLocally || hasWaitedHalf(call, nowMs));
        PendingCall call = queue.takeNext(service, false, mayForward, limiter::shareUtilization);
        while (call != null) {
            String owner = owners.get(random.nextInt(owners.size()));
            attempt(call, new RoutingPolicy.Target(owner, false, 0, 0));
            call = queue.takeNext(service, false, mayForward, limiter::shareUtilization);
        }
    }

    private static boolean hasWaitedHalf(PendingCall call, long nowMs) {
        return nowMs - call.receivedMs() > call.request().startByMs() - nowMs;
    }

    private Optional<RoutingPolicy.Target> chooseTarget(String service) {
        return routing.choose(targets(service));
    }

    /** Returns a target at which the call has not failed yet, or the chosen one if there is none. */
    private RoutingPolicy.Target targetFor(PendingCall call, RoutingPolicy.Target chosen) {
        if (!call.failedTargets().contains(chosen.id())) {
            return chosen;
        }
        List<RoutingPolicy.Target> others =
                new ArrayList<>(targets(call.request().service()));
        others.removeIf(target -> call.failedTargets().contains(target.id()));
        return routing.choose(others).orElse(chosen);
    }

    private List<RoutingPolicy.Target> targets(String service) {
        List<RoutingPolicy.Target> targets = new ArrayList<>();
        for (OwnedEndpoint endpoint : usableLocalEndpoints(service)) {
            targets.add(new RoutingPolicy.Target(
                    endpoint.announcement().getEndpoint(), true, endpoint.freeSlots(), endpoint.callsInFlight()));
        }
        for (Map.Entry<String, Long> peer : peers.freeSlots(service).entrySet()) {
            targets.add(new RoutingPolicy.Target(peer.getKey(), false, peer.getValue(), 0));
        }
        return targets;
    }

    /** Returns the healthy endpoints and the ejected ones due for a trial, or all if these are fewer than half. */
    private List<OwnedEndpoint> usableLocalEndpoints(String service) {
        List<OwnedEndpoint> serving = directory.serving(service);
        List<OwnedEndpoint> usable = new ArrayList<>();
        for (OwnedEndpoint endpoint : serving) {
            if (!endpoint.isEjected() || endpoint.mayStartTrial()) {
                usable.add(endpoint);
            }
        }
        return usable.size() * 2 < serving.size() ? serving : usable;
    }

    private void attempt(PendingCall call, RoutingPolicy.Target target) {
        if (call.isForwarded()) {
            limiter.forwardedCallStarted(call.request().workspace());
        } else if (!call.isAdmitted()) {
            call.admit();
            limiter.callStarted(call.request().workspace());
            metrics.record(WAIT_HISTOGRAM, (double) (clock.nowMs() - call.receivedMs()));
        }
        int number = call.startAttempt();
        CallRequest request = call.request();
        Log.event("callAttempt")
                .with("call", request.id())
                .with("team", request.workspace())
                .with("service", request.service())
                .with("place", target.id())
                .with("attempt", number)
                .info();
        if (target.isLocal()) {
            sendToLocal(call, target);
        } else {
            forward(call, target);
        }
    }

    private void sendToLocal(PendingCall call, RoutingPolicy.Target target) {
        OwnedEndpoint endpoint = directory.find(target.id());
        if (endpoint.freeSlots() <= 0) {
            loop.execute(
                    () -> onAttemptEnded(call, target.id(), new CallOutcome.NotRun(CallRefusal.NO_FREE_SLOT_AT_OWNER)));
            return;
        }
        endpoint.send(call.request(), result -> onAttemptEnded(call, target.id(), toOutcome(result)));
    }

    private void forward(PendingCall call, RoutingPolicy.Target target) {
        CallRequest request = call.request();
        peers.callForwarded(target.id(), request.service());
        long remainingMs = Math.max(1, request.deadlineMs() - clock.nowMs());
        PassedCallProto forwarded = PassedCallProto.newBuilder()
                .setCallId(request.id())
                .setWorkspace(request.workspace())
                .setWorkClass(request.workClass())
                .setService(request.service())
                .setMethod(request.method())
                .setPath(request.path())
                .addAllHeaders(request.headers())
                .setBody(request.body())
                .setIdempotent(request.idempotent())
                .setBudgetMs(remainingMs)
                .setWaitMs(forwardedWaitMs(request))
                .build();
        peers.call(
                        target.id(),
                        EnvelopeProto.newBuilder().setPassedCall(forwarded).build(),
                        remainingMs)
                .thenAccept(result -> loop.execute(() -> onAttemptEnded(call, target.id(), toOutcome(result))));
    }

    private long forwardedWaitMs(CallRequest request) {
        long remainingMs = Math.max(0, request.startByMs() - clock.nowMs());
        return Math.min(MAX_FORWARDED_WAIT_MS, remainingMs);
    }

    private void onAttemptEnded(PendingCall call, String targetId, CallOutcome outcome) {
        if (call.isForwarded()) {
            limiter.forwardedCallEnded(call.request().workspace());
            finish(call, outcome);
        } else if (outcome instanceof CallOutcome.Answered) {
            finish(call, outcome);
        } else if (foundNoFreeSlot(outcome) && call.inDoubtReason() == null) {
            requeue(call, targetId);
        } else {
            call.failedTargets().add(targetId);
            retryOrFinish(call, outcome);
        }
        dispatch(call.request().service());
    }

    private static boolean foundNoFreeSlot(CallOutcome outcome) {
        return outcome instanceof CallOutcome.NotRun notRun && notRun.reason() == CallRefusal.NO_FREE_SLOT_AT_OWNER;
    }

    /** Queues a call again that found its slot taken; it reached no endpoint, so this does not count as a retry. */
    private void requeue(PendingCall call, String targetId) {
        call.undoAttempt();
        limiter.callEnded(call.request().workspace());
        peers.markFull(targetId, call.request().service());
        loop.schedule(backoffMs(1), () -> {
            queue.add(call);
            dispatch(call.request().service());
        });
    }

    private void retryOrFinish(PendingCall call, CallOutcome outcome) {
        boolean isInDoubt = outcome instanceof CallOutcome.Unknown;
        if (outcome instanceof CallOutcome.Unknown unknown) {
            call.markInDoubt(unknown.reason());
        }
        boolean mayRetry = !isInDoubt || call.request().idempotent();
        long backoffMs = backoffMs(call.attempts());
        boolean hasTime = clock.nowMs() + backoffMs < call.request().deadlineMs();
        if (!mayRetry || !hasTime || call.attempts() >= MAX_ATTEMPTS) {
            finish(call, finalOutcome(call, outcome));
            return;
        }
        if (!budget.tryAcquire()) {
            CallOutcome spent = new CallOutcome.NotRun(CallRefusal.RETRY_BUDGET_SPENT);
            finish(call, finalOutcome(call, isInDoubt ? outcome : spent));
            return;
        }
        metrics.count(RETRIES, isInDoubt ? RetryReason.IDEMPOTENT_IN_DOUBT : RetryReason.DID_NOT_RUN);
        loop.schedule(backoffMs, () -> {
            queue.add(call);
            dispatch(call.request().service());
        });
    }

    /**
     * Returns an unknown outcome if any earlier attempt may have run the call, since it must not be reported as not
     * run.
     */
    private static CallOutcome finalOutcome(PendingCall call, CallOutcome outcome) {
        return call.inDoubtReason() == null ? outcome : new CallOutcome.Unknown(call.inDoubtReason());
    }

    private long backoffMs(int attempts) {
        long maxMs = Math.min(MAX_BACKOFF_MS, BASE_BACKOFF_MS << attempts);
        return random.nextLong(maxMs) + 1;
    }

    private void finish(PendingCall call, CallOutcome outcome) {
        if (call.isAdmitted()) {
            limiter.callEnded(call.request().workspace());
        }
        if (!call.isForwarded() || outcome instanceof CallOutcome.NotRun) {
            recordOutcome(call.request(), outcome);
        }
        call.finish(outcome);
    }

    private void refuse(CallRequest request, CallRefusal reason, Consumer<CallOutcome> caller) {
        CallOutcome outcome = new CallOutcome.NotRun(reason);
        recordOutcome(request, outcome);
        caller.accept(outcome);
    }

    private void recordOutcome(CallRequest request, CallOutcome outcome) {
        Log logLine = Log.event("call").with("call", request.id()).with("team", request.workspace());
        if (outcome instanceof CallOutcome.Answered answered) {
            logLine.with("outcome", "answered").with("httpStatus", answered.httpStatus());
        } else if (outcome instanceof CallOutcome.NotRun notRun) {
            metrics.count(REFUSALS, notRun.reason());
            logLine.with("outcome", "not-run").with("reason", notRun.reason().text());
        } else if (outcome instanceof CallOutcome.Unknown unknown) {
            metrics.count(UNKNOWN_OUTCOMES, unknown.reason());
            logLine.with("outcome", "unknown").with("reason", unknown.reason().text());
        }
        logLine.info();
    }

    private static CallOutcome toOutcome(EndpointResult result) {
        if (result instanceof EndpointResult.Answered answered) {
            return new CallOutcome.Answered(answered.httpStatus(), answered.headers(), answered.body());
        }
        if (result instanceof EndpointResult.NotRun notRun) {
            return new CallOutcome.NotRun(notRun.reason());
        }
        return new CallOutcome.Unknown(((EndpointResult.Unknown) result).reason());
    }

    private static CallOutcome toOutcome(RpcResult result) {
        if (result instanceof RpcResult.Answered answered) {
            return ForwardedCalls.toOutcome(answered.envelope().getPassedCallReply());
        }
        if (result instanceof RpcResult.NotSent) {
            return new CallOutcome.NotRun(CallRefusal.NO_CONNECTION);
        }
        return new CallOutcome.Unknown(UnknownOutcomeReason.OWNER_LOST);
    }
}

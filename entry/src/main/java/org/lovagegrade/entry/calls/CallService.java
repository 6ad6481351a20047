package org.lovagegrade.entry.calls;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.lovagegrade.entry.calls.internal.PendingCall;
import org.lovagegrade.entry.calls.internal.RetryBudget;
import org.lovagegrade.entry.calls.internal.WaitingLine;
import org.lovagegrade.entry.calls.internal.WorkspaceGates;
import org.lovagegrade.entry.endpoints.EndpointAnswer;
import org.lovagegrade.entry.endpoints.EndpointDirectory;
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
 * Serves calls: lets them wait in line, sends them to own endpoints or to the entry that owns one, retries what may be
 * retried, and tells each caller what is true. For the entry's loop only.
 */
public final class CallService implements Service {
    /** The name of this service. */
    public static final String NAME = "callService";

    private static final String REFUSALS = "lovagegrade_call_refusals";
    private static final String DOUBTS = "lovagegrade_call_doubts";
    private static final String RETRIES = "lovagegrade_call_retries";
    private static final String WAIT_HISTOGRAM = "lovagegrade_call_wait_ms";
    private static final long LINE_CHECK_MS = 20;
    private static final long MAINTAIN_INTERVAL_MS = 1_000;
    private static final int MOST_WAITING = 4_096;
    private static final int MOST_ATTEMPTS = 5;
    /** The longest stay in another entry's line, so that slots that free up elsewhere are seen: a tenth of 5 s. */
    private static final long MOST_GUEST_WAIT_MS = 500;

    private static final long FIRST_PAUSE_MS = 5;
    private static final long MOST_PAUSE_MS = 200;

    private final EndpointDirectory directory;
    private final PeerEntries peers;
    private final WorkspaceGates gates;
    private final RoutingPolicy routing;
    private final EventLoop loop;
    private final Clock clock;
    private final Metrics metrics;
    private final RandomGenerator random;
    private final WaitingLine line = new WaitingLine();
    private final RetryBudget budget = new RetryBudget();

    /**
     * Creates the service.
     *
     * @param directory the own endpoints
     * @param peers the other entries
     * @param views shares and grants
     * @param routing chooses where a call goes
     * @param loop the entry's loop
     * @param clock a monotonic clock
     * @param metrics counts each refusal, doubt and retry
     * @param random the source of jitter
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
        this.gates = new WorkspaceGates(views);
        this.routing = routing;
        this.loop = loop;
        this.clock = clock;
        this.metrics = metrics.declare(REFUSALS, CallRefusal.class)
                .declare(DOUBTS, CallDoubt.class)
                .declare(RETRIES, RetryReason.class);
        this.random = random;
        views.reportUses(() -> gates.uses(line));
        views.onChange(this::dispatchAll);
        directory.onChange(this::dispatchAll);
    }

    /**
     * Takes a call whose key was checked.
     *
     * @param request the call
     * @param caller takes the outcome, once, on the loop
     */
    public void submit(CallRequest request, Consumer<CallOutcome> caller) {
        if (line.size() >= MOST_WAITING) {
            refuse(request, CallRefusal.LINE_FULL, caller);
            return;
        }
        budget.firstAttempt();
        line.add(new PendingCall(request, caller, clock.nowMs()));
        dispatch(request.service());
    }

    /**
     * Serves a call that another entry passed on, once an own endpoint has a free slot for it.
     *
     * <p>It waits in the same line as the calls received here, ordered by the same rule, until {@code startByMs}.
     *
     * @param request the call
     * @param caller takes the outcome, once, on the loop
     */
    public void serveHere(CallRequest request, Consumer<CallOutcome> caller) {
        if (line.size() >= MOST_WAITING) {
            refuse(request, CallRefusal.NO_FREE_SLOT_AT_OWNER, caller);
            return;
        }
        line.add(PendingCall.guest(request, caller, clock.nowMs()));
        dispatch(request.service());
    }

    /**
     * Counts a refusal that was decided before the call came here.
     *
     * @param reason why
     */
    public void countRefusal(CallRefusal reason) {
        metrics.count(REFUSALS, reason);
    }

    /** Takes no new endpoints from now on and tells the present ones to choose another owner. */
    public void leave() {
        directory.leave();
    }

    /**
     * How many calls are in flight or wait.
     *
     * @return the number
     */
    public long unanswered() {
        return gates.total() + line.size();
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start() {
        loop.scheduleWithFixedDelay(LINE_CHECK_MS, this::checkLine);
        loop.scheduleWithFixedDelay(MAINTAIN_INTERVAL_MS, directory::maintain);
    }

    @Override
    public void stop() {}

    private void checkLine() {
        long nowMs = clock.nowMs();
        for (PendingCall call : line.takeOverdue(nowMs)) {
            finish(call, overdueOutcome(call, nowMs));
        }
        dispatchAll();
    }

    private CallOutcome overdueOutcome(PendingCall call, long nowMs) {
        if (call.isGuest()) {
            return new CallOutcome.NotRun(CallRefusal.NO_FREE_SLOT_AT_OWNER);
        }
        if (call.doubt() != null) {
            return new CallOutcome.Unknown(call.doubt());
        }
        if (nowMs >= call.request().deadlineMs()) {
            return new CallOutcome.NotRun(CallRefusal.DEADLINE_PASSED);
        }
        if (!gates.mayEnter(call.request().workspace())) {
            return new CallOutcome.NotRun(CallRefusal.WORKSPACE_AT_LIMIT);
        }
        boolean isServed = !places(call.request().service()).isEmpty();
        return new CallOutcome.NotRun(isServed ? CallRefusal.NO_SLOT_IN_TIME : CallRefusal.NO_ENDPOINT);
    }

    private void dispatchAll() {
        line.services().forEach(this::dispatch);
    }

    private void dispatch(String service) {
        Optional<RoutingPolicy.Place> place = choose(service);
        while (place.isPresent()) {
            boolean isOwn = place.get().isOwn();
            PendingCall call = line.takeNext(service, isOwn, this::mayStart, gates::useOfShare);
            if (call == null) {
                return;
            }
            attempt(call, placeFor(call, place.get()));
            place = choose(service);
        }
        waitElsewhere(service);
    }

    private boolean mayStart(PendingCall call) {
        return call.isGuest()
                || call.isAdmitted()
                || gates.mayEnter(call.request().workspace());
    }

    /** No place is known to have a free slot: calls that could starve here go and wait at the owner of an endpoint. */
    private void waitElsewhere(String service) {
        List<String> owners = List.copyOf(peers.freeSlots(service).keySet());
        if (owners.isEmpty()) {
            return;
        }
        boolean ownsNone = directory.serving(service).isEmpty();
        long nowMs = clock.nowMs();
        Predicate<PendingCall> mayGo = call -> mayStart(call) && (ownsNone || hasWaitedHalf(call, nowMs));
        PendingCall call = line.takeNext(service, false, mayGo, gates::useOfShare);
        while (call != null) {
            String owner = owners.get(random.nextInt(owners.size()));
            attempt(call, new RoutingPolicy.Place(owner, false, 0, 0));
            call = line.takeNext(service, false, mayGo, gates::useOfShare);
        }
    }

    private static boolean hasWaitedHalf(PendingCall call, long nowMs) {
        return nowMs - call.receivedMs() > call.request().startByMs() - nowMs;
    }

    private Optional<RoutingPolicy.Place> choose(String service) {
        return routing.choose(places(service));
    }

    /** Another place than those that failed the call before, if there is one. */
    private RoutingPolicy.Place placeFor(PendingCall call, RoutingPolicy.Place chosen) {
        if (!call.avoid().contains(chosen.id())) {
            return chosen;
        }
        List<RoutingPolicy.Place> others = new ArrayList<>(places(call.request().service()));
        others.removeIf(place -> call.avoid().contains(place.id()));
        return routing.choose(others).orElse(chosen);
    }

    private List<RoutingPolicy.Place> places(String service) {
        List<RoutingPolicy.Place> places = new ArrayList<>();
        for (OwnedEndpoint endpoint : usableHere(service)) {
            places.add(new RoutingPolicy.Place(
                    endpoint.announced().getEndpoint(), true, endpoint.free(), endpoint.busy()));
        }
        for (Map.Entry<String, Long> peer : peers.freeSlots(service).entrySet()) {
            places.add(new RoutingPolicy.Place(peer.getKey(), false, peer.getValue(), 0));
        }
        return places;
    }

    /** The endpoints that may get calls: sound ones, ejected ones due for a trial, or all if most are ejected. */
    private List<OwnedEndpoint> usableHere(String service) {
        List<OwnedEndpoint> serving = directory.serving(service);
        List<OwnedEndpoint> usable = new ArrayList<>();
        for (OwnedEndpoint endpoint : serving) {
            if (!endpoint.isEjected() || endpoint.mayTry()) {
                usable.add(endpoint);
            }
        }
        return usable.size() * 2 < serving.size() ? serving : usable;
    }

    private void attempt(PendingCall call, RoutingPolicy.Place place) {
        if (call.isGuest()) {
            gates.enterGuest(call.request().workspace());
        } else if (!call.isAdmitted()) {
            call.admit();
            gates.enter(call.request().workspace());
            metrics.record(WAIT_HISTOGRAM, (double) (clock.nowMs() - call.receivedMs()));
        }
        int number = call.nextAttempt();
        CallRequest request = call.request();
        Log.event("callAttempt")
                .with("call", request.id())
                .with("team", request.workspace())
                .with("service", request.service())
                .with("place", place.id())
                .with("attempt", number)
                .info();
        if (place.isOwn()) {
            sendToOwn(call, place);
        } else {
            pass(call, place);
        }
    }

    private void sendToOwn(PendingCall call, RoutingPolicy.Place place) {
        OwnedEndpoint endpoint = directory.find(place.id());
        if (endpoint.free() <= 0) {
            loop.execute(() -> settled(call, place.id(), new CallOutcome.NotRun(CallRefusal.NO_FREE_SLOT_AT_OWNER)));
            return;
        }
        endpoint.send(call.request(), answer -> settled(call, place.id(), toOutcome(answer)));
    }

    private void pass(PendingCall call, RoutingPolicy.Place place) {
        CallRequest request = call.request();
        peers.passed(place.id(), request.service());
        long leftMs = Math.max(1, request.deadlineMs() - clock.nowMs());
        PassedCallProto passed = PassedCallProto.newBuilder()
                .setCallId(request.id())
                .setWorkspace(request.workspace())
                .setWorkClass(request.workClass())
                .setService(request.service())
                .setMethod(request.method())
                .setPath(request.path())
                .addAllHeaders(request.headers())
                .setBody(request.body())
                .setIdempotent(request.idempotent())
                .setBudgetMs(leftMs)
                .setWaitMs(guestWaitMs(request))
                .build();
        peers.call(place.id(), EnvelopeProto.newBuilder().setPassedCall(passed).build(), leftMs)
                .thenAccept(result -> loop.execute(() -> settled(call, place.id(), toOutcome(result))));
    }

    private long guestWaitMs(CallRequest request) {
        long leftMs = Math.max(0, request.startByMs() - clock.nowMs());
        return Math.min(MOST_GUEST_WAIT_MS, leftMs);
    }

    private void settled(PendingCall call, String place, CallOutcome outcome) {
        if (call.isGuest()) {
            gates.leaveGuest(call.request().workspace());
            finish(call, outcome);
        } else if (outcome instanceof CallOutcome.Answered) {
            finish(call, outcome);
        } else if (foundNoSlot(outcome) && call.doubt() == null) {
            waitAgain(call, place);
        } else {
            call.avoid().add(place);
            retryOrFinish(call, outcome);
        }
        dispatch(call.request().service());
    }

    private static boolean foundNoSlot(CallOutcome outcome) {
        return outcome instanceof CallOutcome.NotRun notRun && notRun.reason() == CallRefusal.NO_FREE_SLOT_AT_OWNER;
    }

    /** The slot was taken by others meanwhile; no endpoint was troubled, so this is waiting and no retry. */
    private void waitAgain(PendingCall call, String place) {
        call.withdraw();
        gates.leave(call.request().workspace());
        peers.full(place, call.request().service());
        loop.schedule(pauseMs(1), () -> {
            line.add(call);
            dispatch(call.request().service());
        });
    }

    private void retryOrFinish(PendingCall call, CallOutcome outcome) {
        boolean isInDoubt = outcome instanceof CallOutcome.Unknown;
        if (outcome instanceof CallOutcome.Unknown unknown) {
            call.doubted(unknown.reason());
        }
        boolean mayRetry = !isInDoubt || call.request().idempotent();
        long pauseMs = pauseMs(call.attempts());
        boolean hasTime = clock.nowMs() + pauseMs < call.request().deadlineMs();
        if (!mayRetry || !hasTime || call.attempts() >= MOST_ATTEMPTS) {
            finish(call, lastWord(call, outcome));
            return;
        }
        if (!budget.tryTake()) {
            CallOutcome spent = new CallOutcome.NotRun(CallRefusal.RETRY_BUDGET_SPENT);
            finish(call, lastWord(call, isInDoubt ? outcome : spent));
            return;
        }
        metrics.count(RETRIES, isInDoubt ? RetryReason.IDEMPOTENT_IN_DOUBT : RetryReason.DID_NOT_RUN);
        loop.schedule(pauseMs, () -> {
            line.add(call);
            dispatch(call.request().service());
        });
    }

    /** A call that once may have run can never be said not to have run. */
    private static CallOutcome lastWord(PendingCall call, CallOutcome outcome) {
        return call.doubt() == null ? outcome : new CallOutcome.Unknown(call.doubt());
    }

    private long pauseMs(int attempts) {
        long mostMs = Math.min(MOST_PAUSE_MS, FIRST_PAUSE_MS << attempts);
        return random.nextLong(mostMs) + 1;
    }

    private void finish(PendingCall call, CallOutcome outcome) {
        if (call.isAdmitted()) {
            gates.leave(call.request().workspace());
        }
        if (!call.isGuest() || outcome instanceof CallOutcome.NotRun) {
            note(call.request(), outcome);
        }
        call.finish(outcome);
    }

    private void refuse(CallRequest request, CallRefusal reason, Consumer<CallOutcome> caller) {
        CallOutcome outcome = new CallOutcome.NotRun(reason);
        note(request, outcome);
        caller.accept(outcome);
    }

    private void note(CallRequest request, CallOutcome outcome) {
        Log line = Log.event("call").with("call", request.id()).with("team", request.workspace());
        if (outcome instanceof CallOutcome.Answered answered) {
            line.with("outcome", "answered").with("httpStatus", answered.httpStatus());
        } else if (outcome instanceof CallOutcome.NotRun notRun) {
            metrics.count(REFUSALS, notRun.reason());
            line.with("outcome", "not-run").with("reason", notRun.reason().text());
        } else if (outcome instanceof CallOutcome.Unknown unknown) {
            metrics.count(DOUBTS, unknown.reason());
            line.with("outcome", "unknown").with("reason", unknown.reason().text());
        }
        line.info();
    }

    private static CallOutcome toOutcome(EndpointAnswer answer) {
        if (answer instanceof EndpointAnswer.Whole whole) {
            return new CallOutcome.Answered(whole.httpStatus(), whole.headers(), whole.body());
        }
        if (answer instanceof EndpointAnswer.NotRun notRun) {
            return new CallOutcome.NotRun(notRun.reason());
        }
        return new CallOutcome.Unknown(((EndpointAnswer.Doubtful) answer).reason());
    }

    private static CallOutcome toOutcome(RpcResult result) {
        if (result instanceof RpcResult.Answered answered) {
            return PassedCalls.toOutcome(answered.envelope().getPassedCallReply());
        }
        if (result instanceof RpcResult.NotSent) {
            return new CallOutcome.NotRun(CallRefusal.NO_CONNECTION);
        }
        return new CallOutcome.Unknown(CallDoubt.OWNER_LOST);
    }
}

package org.lovagegrade.entry.endpoints;

import com.google.protobuf.ByteString;
import io.undertow.client.ClientRequest;
import io.undertow.connector.ByteBufferPool;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import java.util.function.Consumer;
import org.lovagegrade.entry.calls.CallRefusal;
import org.lovagegrade.entry.calls.CallRequest;
import org.lovagegrade.entry.calls.UnknownOutcomeReason;
import org.lovagegrade.entry.endpoints.internal.ConnectionPool;
import org.lovagegrade.entry.endpoints.internal.EndpointHealth;
import org.lovagegrade.kernel.Clock;
import org.lovagegrade.kernel.EventLoop;
import org.lovagegrade.wire.Address;
import org.lovagegrade.wire.proto.AnnounceProto;
import org.lovagegrade.wire.proto.EndpointSummaryProto;
import org.lovagegrade.wire.proto.HeaderProto;
import org.xnio.XnioWorker;

/**
 * An endpoint that chose this entry as its owner. All calls to it go through this entry, so that its slots are counted
 * in one place. Must be used on the entry's loop only.
 */
public final class OwnedEndpoint {
    private static final long UNRESPONSIVE_AFTER_MS = 3_000;
    private static final long PROBE_AFTER_MS = 1_000;
    private static final long RECHECK_DELAY_MS = 500;
    private static final long PROBE_TIMEOUT_MS = 1_000;
    private static final int MIN_SERVER_ERROR_STATUS = 500;
    private static final int SPARE_CONNECTIONS = 2;

    private final String self;
    private final EventLoop loop;
    private final Clock clock;
    private final ConnectionPool pool;
    private final EndpointHealth health = new EndpointHealth();
    private AnnounceProto announcement;
    private long lastContactMs;
    private int callsInFlight;

    /**
     * Creates the endpoint without connections.
     *
     * @param self the id of this entry
     * @param announcement the first announcement of the endpoint
     * @param worker the I/O threads of the HTTP client
     * @param buffers the buffer pool of the HTTP client
     * @param loop the entry's loop
     * @param clock a monotonic clock
     */
    public OwnedEndpoint(
            String self,
            AnnounceProto announcement,
            XnioWorker worker,
            ByteBufferPool buffers,
            EventLoop loop,
            Clock clock) {
        this.self = self;
        this.announcement = announcement;
        this.loop = loop;
        this.clock = clock;
        this.lastContactMs = clock.nowMs();
        Address address = new Address(announcement.getHost(), announcement.getPort());
        int maxConnections = Math.max(1, announcement.getConnections() / 2 - SPARE_CONNECTIONS);
        this.pool = new ConnectionPool(address, maxConnections, worker, buffers, loop);
    }

    /**
     * Replaces the announcement and records the contact with the endpoint.
     *
     * @param latest the new announcement
     */
    public void update(AnnounceProto latest) {
        announcement = latest;
        lastContactMs = clock.nowMs();
    }

    /**
     * Returns the last announcement of the endpoint.
     *
     * @return the announcement
     */
    public AnnounceProto announcement() {
        return announcement;
    }

    /**
     * Returns whether the endpoint accepts calls, that is, whether it is responsive and not leaving.
     *
     * @return true if calls may be sent to it
     */
    public boolean isServing() {
        return !announcement.getLeaving() && clock.nowMs() - lastContactMs < UNRESPONSIVE_AFTER_MS;
    }

    /**
     * Returns whether the endpoint is ejected because of consecutive failures.
     *
     * @return true if it gets only trial calls
     */
    public boolean isEjected() {
        return health.isEjected();
    }

    /**
     * Returns whether a trial call may be sent to the ejected endpoint now.
     *
     * @return true if its pause is over, no trial is running and a slot is free
     */
    public boolean mayStartTrial() {
        return health.mayStartTrial(clock.nowMs()) && freeSlots() > 0;
    }

    /**
     * Returns whether the endpoint can be removed.
     *
     * @return true if it has been unresponsive for long and has no calls in flight
     */
    public boolean isExpired() {
        return callsInFlight == 0 && clock.nowMs() - lastContactMs > UNRESPONSIVE_AFTER_MS * 2;
    }

    /**
     * Returns the number of free slots.
     *
     * @return the number, never negative
     */
    public int freeSlots() {
        return Math.max(0, announcement.getSlots() - announcement.getBusyElsewhere() - callsInFlight);
    }

    /**
     * Returns the number of calls in flight to the endpoint.
     *
     * @return the number of calls
     */
    public int callsInFlight() {
        return callsInFlight;
    }

    /**
     * Returns the summary that is sent to other entries.
     *
     * @return the summary
     */
    public EndpointSummaryProto summary() {
        return EndpointSummaryProto.newBuilder()
                .setId(announcement.getEndpoint())
                .setService(announcement.getService())
                .setSlots(announcement.getSlots())
                .setFree(freeSlots())
                .setUsable(isServing() && !health.isEjected())
                .setEpoch(announcement.getEpoch())
                .build();
    }

    /** Probes the idle connections. */
    public void probeIdle() {
        pool.probeIdle();
    }

    /** Closes the connections that are not in use. */
    public void close() {
        pool.close();
    }

    /**
     * Sends a call. The caller must have checked that a slot is free.
     *
     * @param call the call
     * @param result receives the result exactly once, on the loop
     */
    public void send(CallRequest call, Consumer<EndpointResult> result) {
        callsInFlight++;
        if (health.isEjected()) {
            health.trialStarted();
        }
        new InFlightCall(call, result).start();
    }

    private void recordHealth(EndpointResult received) {
        boolean isFailure = received instanceof EndpointResult.Unknown
                || (received instanceof EndpointResult.NotRun notRun && notRun.reason() == CallRefusal.NO_CONNECTION)
                || (received instanceof EndpointResult.Answered answered
                        && answered.httpStatus() >= MIN_SERVER_ERROR_STATUS);
        if (isFailure) {
            health.failed(clock.nowMs());
        } else {
            health.succeeded();
        }
    }

    /**
     * A call in flight. Probes on separate connections detect that its own connection no longer works: after two failed
     * probes in a row, or two that report the call as finished, it ends with an unknown outcome.
     */
    private final class InFlightCall {
        private final CallRequest call;
        private final Consumer<EndpointResult> result;
        private ConnectionPool.PendingRequest pending;
        private boolean done;
        private boolean lastProbeSawFinished;
        private boolean lastProbeFailed;

        InFlightCall(CallRequest call, Consumer<EndpointResult> result) {
            this.call = call;
            this.result = result;
        }

        void start() {
            long remainingMs = call.deadlineMs() - clock.nowMs();
            pending = pool.send(request(remainingMs), call.body(), false, this::complete);
            loop.schedule(
                    Math.max(0, remainingMs),
                    () -> pending.abandon(new EndpointResult.Unknown(UnknownOutcomeReason.DEADLINE_PASSED)));
            loop.schedule(PROBE_AFTER_MS, this::probe);
        }

        private ClientRequest request(long remainingMs) {
            ClientRequest request =
                    pool.requestTo(call.method(), call.path(), call.body().size());
            for (HeaderProto header : call.headers()) {
                request.getRequestHeaders().add(new HttpString(header.getName()), header.getValue());
            }
            request.getRequestHeaders()
                    .put(EndpointProtocol.CALL_ID, call.id())
                    .put(EndpointProtocol.SESSION, self + "/" + announcement.getEpoch())
                    .put(EndpointProtocol.DEADLINE_MS, remainingMs);
            return request;
        }

        private void complete(EndpointResult received) {
            if (done) {
                return;
            }
            done = true;
            callsInFlight--;
            recordHealth(received);
            result.accept(received);
        }

        /** Asks for the state of the call over a new connection, since the old one may be unresponsive. */
        private void probe() {
            if (done) {
                return;
            }
            ClientRequest probe =
                    pool.requestTo(Methods.GET.toString(), EndpointProtocol.PROBE_PATH + "?call=" + call.id(), 0);
            ConnectionPool.PendingRequest pendingProbe = pool.send(probe, ByteString.EMPTY, true, this::probed);
            loop.schedule(
                    PROBE_TIMEOUT_MS,
                    () -> pendingProbe.abandon(new EndpointResult.Unknown(UnknownOutcomeReason.CONNECTION_SILENT)));
        }

        private void probed(EndpointResult received) {
            if (done) {
                return;
            }
            if (!(received instanceof EndpointResult.Answered answered)) {
                probeFailed();
                return;
            }
            lastProbeFailed = false;
            String state = header(answered, EndpointProtocol.CALL_STATE);
            if (state.equals(EndpointProtocol.NEVER_ARRIVED)) {
                pending.abandon(new EndpointResult.NotRun(CallRefusal.NEVER_ARRIVED));
            } else if (state.equals(EndpointProtocol.FINISHED) && lastProbeSawFinished) {
                pending.abandon(new EndpointResult.Unknown(UnknownOutcomeReason.CONNECTION_SILENT));
            } else {
                lastProbeSawFinished = state.equals(EndpointProtocol.FINISHED);
                loop.schedule(lastProbeSawFinished ? RECHECK_DELAY_MS : PROBE_AFTER_MS, this::probe);
            }
        }

        private void probeFailed() {
            if (lastProbeFailed) {
                pending.abandon(new EndpointResult.Unknown(UnknownOutcomeReason.CONNECTION_SILENT));
                return;
            }
            lastProbeFailed = true;
            loop.schedule(RECHECK_DELAY_MS, this::probe);
        }

        private static String header(EndpointResult.Answered answered, HttpString name) {
            return answered.headers().stream()
                    .filter(header -> name.equalToString(header.getName()))
                    .map(HeaderProto::getValue)
                    .findFirst()
                    .orElse("");
        }
    }
}
